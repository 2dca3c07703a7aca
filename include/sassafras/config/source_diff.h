#ifndef SASSAFRAS_CONFIG_SOURCE_DIFF_H_
#define SASSAFRAS_CONFIG_SOURCE_DIFF_H_

#include <optional>
#include <string>
#include <vector>

#include "sassafras/config/config_parse.h"

namespace sassafras {

/// Lines that `after` takes away or adds, as "file:line: -text" and
/// "file:line: +text", in order of files and lines.
std::string DiffSources(const std::vector<source_file>& before,
                        const std::vector<source_file>& after);

/// The set with `leaving: true` on the object `name`; empty if no line or more
/// than one defines that name.
std::optional<std::vector<source_file>> MarkLeaving(
    std::vector<source_file> files,
    const std::string& name);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_SOURCE_DIFF_H_
