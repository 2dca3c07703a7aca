#ifndef SASSAFRAS_CORE_DIGEST_H_
#define SASSAFRAS_CORE_DIGEST_H_

#include <string>
#include <string_view>

namespace sassafras {

/// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Returns whether `a` equals `b`, in a time that depends on their lengths
/// only, so that comparing secrets does not leak their content.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_DIGEST_H_
