#ifndef SASSAFRAS_NET_OBJECT_PORT_H_
#define SASSAFRAS_NET_OBJECT_PORT_H_

#include <functional>
#include <string>

#include "sassafras/net/answer.h"

namespace sassafras {

/// Answer to a read of an object.
struct object_answer {
  answer_state state = answer_state::kNotDone;
  bool exists = false;
  std::string value;
};

/// The platform's object store. Each function calls `done` exactly once.
struct object_port {
  /// Writes an object; replaces an existing object of the same name.
  std::function<void(std::string name,
                     std::string value,
                     std::function<void(answer_state)> done)>
      put;

  /// Reads an object.
  std::function<void(std::string name, std::function<void(object_answer)> done)>
      get;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_OBJECT_PORT_H_
