#ifndef SASSAFRAS_CORE_INVARIANT_H_
#define SASSAFRAS_CORE_INVARIANT_H_

#include <functional>
#include <string_view>

namespace sassafras {

/// Called with the name of an invariant that does not hold.
using invariant_handler = std::function<void(std::string_view name)>;

/// Replaces the handler of broken invariants. The default prints the name and
/// aborts the process. Set once, before threads start.
void SetInvariantHandler(invariant_handler handler);

/// Reports `name` to the handler if `holds` is false. Checked in every build.
void CheckInvariant(bool holds, std::string_view name);

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_INVARIANT_H_
