#ifndef SASSAFRAS_NET_ANSWER_H_
#define SASSAFRAS_NET_ANSWER_H_

#include <cstdint>
#include <string_view>

namespace sassafras {

/// What is known about the effect of an operation on an external service.
enum class answer_state : std::uint8_t {
  kDone,     ///< It took effect and its answer was received completely.
  kNotDone,  ///< It had no effect.
  kUnknown,  ///< It may have taken effect; no valid answer was received.
};

/// Returns the name of `state` in logs: "done", "not_done", "unknown".
std::string_view GetName(answer_state state);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_ANSWER_H_
