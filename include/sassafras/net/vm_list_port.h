#ifndef SASSAFRAS_NET_VM_LIST_PORT_H_
#define SASSAFRAS_NET_VM_LIST_PORT_H_

#include <functional>
#include <string>
#include <vector>

#include "sassafras/net/answer.h"

namespace sassafras {

/// One VM in the platform's list, which may be seconds out of date.
struct vm_entry {
  std::string name;     ///< Name of the worker, minion or process on it.
  std::string address;  ///< "IP:port" of its service.
  bool is_leaving = false;
};

/// Answer to a read of the VM list.
struct vm_list_answer {
  answer_state state = answer_state::kNotDone;
  std::vector<vm_entry> entries;
};

/// The platform's list of live and leaving VMs.
struct vm_list_port {
  std::function<void(std::function<void(vm_list_answer)> done)> list;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_VM_LIST_PORT_H_
