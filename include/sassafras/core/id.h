#ifndef SASSAFRAS_CORE_ID_H_
#define SASSAFRAS_CORE_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// Longest accepted name, in bytes.
inline constexpr std::size_t kMaxNameLength = 128;

/// Whether `text` is a valid name: 1 to kMaxNameLength letters, digits, '-',
/// '_' or '.', beginning with a letter or digit.
bool IsValidName(std::string_view text);

/// The name of an object. `Tag` makes the ids of each kind of object a distinct
/// type.
template <class Tag>
struct name_id {
  std::string value;

  /// Returns the id, or empty if IsValidName(`text`) is false.
  static std::optional<name_id> Make(std::string_view text) {
    if (!IsValidName(text)) {
      return std::nullopt;
    }
    return name_id{std::string(text)};
  }

  auto operator<=>(const name_id&) const = default;
};

using place_id = name_id<struct place_tag>;
using rack_id = name_id<struct rack_tag>;
using worker_id = name_id<struct worker_tag>;
using shape_id = name_id<struct shape_tag>;
using team_id = name_id<struct team_tag>;
using class_id = name_id<struct class_tag>;
using target_id = name_id<struct target_tag>;
using minion_id = name_id<struct minion_tag>;
using job_id = name_id<struct job_tag>;
using task_id = name_id<struct task_tag>;
using process_id = name_id<struct process_tag>;

}  // namespace sassafras

template <class Tag>
struct std::hash<sassafras::name_id<Tag>> {
  std::size_t operator()(const sassafras::name_id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};

#endif  // SASSAFRAS_CORE_ID_H_
