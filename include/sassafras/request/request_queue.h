#ifndef SASSAFRAS_REQUEST_REQUEST_QUEUE_H_
#define SASSAFRAS_REQUEST_REQUEST_QUEUE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "sassafras/request/request_events.h"

namespace sassafras {

/// One waiting request.
struct queued_request {
  request_id request = 0;
  class_id class_name;
  team_id team;
  instant deadline;
};

/// The waiting requests of one target in the order in which they are served:
/// classes below their floor first, then by urgency; within a class the team
/// with the least service for its share; within a team by deadline, then age.
class request_queue {
 public:
  /// Whether requests of a class may be taken now.
  using class_filter = std::function<bool(const job_class&)>;

  /// Takes in classes and shares. Waiting requests stay.
  void Configure(const config_set& objects, const target_id& target);

  void Push(const queued_request& item);

  /// Removes a waiting request; unknown ones are ignored.
  void Remove(request_id request);

  /// Returns the request to serve next while the process may use `slots`, and
  /// removes it. Counts it as in work until Finish().
  std::optional<request_id> Pop(int slots, const class_filter& is_allowed);

  /// A popped request of `class_name` no longer holds a slot.
  void Finish(const class_id& class_name);

  /// A popped request of `class_name` holds another slot.
  void Start(const class_id& class_name);

  /// Waiting requests of one team and class.
  int Waiting(const class_id& class_name, const team_id& team) const;

  /// Waiting requests that are served before a new one of `order`.
  int WaitingBefore(urgency urgency_level) const;

  int Size() const { return static_cast<int>(queued_.size()); }

 private:
  using position = std::pair<instant, request_id>;

  struct team_queue {
    std::set<position> waiting;
    double served = 0;  ///< Requests served, divided by the share.
  };
  struct class_queue {
    job_class definition;
    std::map<team_id, team_queue> teams;
    int waiting = 0;
    int in_flight = 0;
    int passed_over = 0;      ///< Others served since it was, while it waits.
    double virtual_time = 0;  ///< `served` of the team served last.
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
