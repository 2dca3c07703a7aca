#ifndef SASSAFRAS_NET_ANSWER_H_
#define SASSAFRAS_NET_ANSWER_H_

#include <cstdint>
#include <string_view>

namespace sassafras {

/// What is known of an operation on the outside.
enum class answer_state : std::uint8_t {
  kDone,     ///< It took effect; the answer is whole.
  kNotDone,  ///< It certainly took no effect.
  kUnknown,  ///< It may have taken effect; the answer was lost.
};

/// Names of answer_state in logs: "done", "not_done", "unknown".
std::string_view GetName(answer_state state);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_ANSWER_H_
