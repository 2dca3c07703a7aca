#ifndef SASSAFRAS_PROGRAMS_ENTRY_DESCRIPTOR_BUDGET_H_
#define SASSAFRAS_PROGRAMS_ENTRY_DESCRIPTOR_BUDGET_H_

namespace sassafras {

/// How a process divides the descriptors that it may open, in connections.
struct descriptor_budget {
  int outgoing = 0;    ///< To the store and to minions, idle ones included.
  int idle = 0;        ///< Of these, kept without a call.
  int callers = 0;     ///< Of callers; more are closed at once.
  int long_polls = 0;  ///< Looks at minions that wait for an end.
};

/// Divides `descriptors`. A burst of orders always finds room beside the
/// looks that wait, and callers never find the outgoing ones in their way.
descriptor_budget DivideDescriptors(int descriptors);

/// What the system allows this process to open.
int GetDescriptorLimit();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_DESCRIPTOR_BUDGET_H_
