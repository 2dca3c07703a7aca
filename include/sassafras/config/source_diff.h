#ifndef SASSAFRAS_CONFIG_SOURCE_DIFF_H_
#define SASSAFRAS_CONFIG_SOURCE_DIFF_H_

#include <optional>
#include <string>
#include <vector>

#include "sassafras/config/config_parse.h"

namespace sassafras {

/// Returns the lines that `after` removes or adds, as "file:line: -text" and
/// "file:line: +text", ordered by file and line.
std::string DiffSources(const std::vector<source_file>& before,
                        const std::vector<source_file>& after);

/// Returns `files` with `leaving: true` added to the object `name`; empty
/// unless exactly one line defines that name.
std::optional<std::vector<source_file>> MarkLeaving(
    std::vector<source_file> files,
    const std::string& name);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_SOURCE_DIFF_H_
