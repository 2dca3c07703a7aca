#ifndef SASSAFRAS_REQUEST_REQUEST_QUEUE_H_
#define SASSAFRAS_REQUEST_REQUEST_QUEUE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "sassafras/request/request_events.h"

namespace sassafras {

/// One request in the queue.
struct queued_request {
  request_id request = 0;
  class_id class_name;
  team_id team;
  instant deadline;
};

/// The waiting requests of one target. Classes below their guaranteed minimum
/// (floor) of slots are served first, then classes by urgency. Within a class,
/// the team with the least service relative to its share is served first;
/// within a team, the request with the earliest deadline, then the oldest. Not
/// safe for concurrent use.
class request_queue {
 public:
  /// Whether a request of the class may be dispatched now.
  using class_filter = std::function<bool(const job_class&)>;

  /// Applies the target's classes and the teams' shares. Waiting requests are
  /// kept.
  void Configure(const config_set& objects, const target_id& target);

  /// Adds a waiting request.
  void Push(const queued_request& item);

  /// Removes a waiting request; does nothing if it is not in the queue.
  void Remove(request_id request);

  /// Removes and returns the request to serve next, or empty. `slots` is the
  /// number of slots that the process may use, of which floors are a
  /// percentage. Counts the request as in flight until
  /// RecordSlotReleased().
  std::optional<request_id> Pop(int slots, const class_filter& is_allowed);

  /// Records that a popped request of `class_name` released a slot.
  void RecordSlotReleased(const class_id& class_name);

  /// Records that a popped request of `class_name` occupies another slot.
  void RecordSlotAcquired(const class_id& class_name);

  /// Number of waiting requests of one team and class.
  int Waiting(const class_id& class_name, const team_id& team) const;

  /// Number of waiting requests that are served before a new one of
  /// `urgency_level`.
  int WaitingBefore(urgency urgency_level) const;

  int Size() const { return static_cast<int>(queued_.size()); }

 private:
  using position = std::pair<instant, request_id>;

  struct team_queue {
    std::set<position> waiting;
    double served = 0;  ///< Requests served, divided by the team's share.
  };
  struct class_queue {
    job_class definition;
    std::map<team_id, team_queue> teams;
    int waiting = 0;
    int in_flight = 0;
    int passed_over = 0;  ///< Requests of other classes served while it waits.
    double virtual_time = 0;  ///< `served` of the team served last, before it.
  };

  bool IsBelowFloor(const class_queue& item, int slots) const;
  class_queue* ChooseClass(int slots, const class_filter& is_allowed);
  request_id PickRequest(class_queue& chosen);

  std::map<class_id, class_queue> classes_;
  std::map<team_id, int> shares_;
  std::map<request_id, queued_request> queued_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_REQUEST_QUEUE_H_
