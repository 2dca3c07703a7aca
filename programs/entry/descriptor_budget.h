#ifndef SASSAFRAS_PROGRAMS_ENTRY_DESCRIPTOR_BUDGET_H_
#define SASSAFRAS_PROGRAMS_ENTRY_DESCRIPTOR_BUDGET_H_

namespace sassafras {

/// Limits on connections that follow from the number of file descriptors that a
/// process may open.
struct descriptor_budget {
  int outgoing = 0;   ///< To the store and to minions, idle ones included.
  int idle = 0;       ///< Outgoing connections kept open without a call.
  int callers = 0;    ///< From callers.
  int readiness = 0;  ///< From load balancers.
  int status = 0;     ///< From operators and from other entry processes.
  /// Polls of minions that wait for a run to end. Each holds an outgoing
  /// connection.
  int long_polls = 0;
};

/// Divides `descriptors` among the uses above. Part of the outgoing connections
/// is never used by long polls, so that a burst of orders can be sent. Outgoing
/// connections and those of callers have separate shares.
descriptor_budget DivideDescriptors(int descriptors);

/// Returns the soft limit on open descriptors of this process, at most 65,536.
int GetDescriptorLimit();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_DESCRIPTOR_BUDGET_H_
