#ifndef SASSAFRAS_CORE_INVARIANT_H_
#define SASSAFRAS_CORE_INVARIANT_H_

#include <functional>
#include <string_view>

namespace sassafras {

/// Called with the name of a violated invariant.
using invariant_handler = std::function<void(std::string_view name)>;

/// Replaces the handler of violated invariants. The default handler prints the
/// name to standard error and aborts the process. Not thread-safe: call it
/// once, before threads start.
void SetInvariantHandler(invariant_handler handler);

/// Calls the handler with `name` if `holds` is false, in debug and release
/// builds.
void CheckInvariant(bool holds, std::string_view name);

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_INVARIANT_H_
