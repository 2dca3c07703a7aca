#ifndef SASSAFRAS_REVIEW_STANDIN_3_MINIONS_H_
#define SASSAFRAS_REVIEW_STANDIN_3_MINIONS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "review/standin-3/store.h"

namespace sassafras::review {

/// What a task does. Encoded in the `spec` of its job.
struct work {
  std::int64_t run_ms = 1000;
  bool lasts = false;
  std::int64_t cpu = 0;        ///< Thousandths of a core.
  int gang = 1;                ///< Tasks that work only together.
  std::size_t spec_bytes = 0;  ///< Length of the spec, at least.
};

std::string EncodeWork(const work& what);

/// Workers by PROTOCOL.md, each on its own address. They start what they are
/// told to (`admissionControl` is false).
class minions {
 public:
  struct options {
    int count = 8;
    std::int64_t cpu = 128'000;
    std::int64_t memory_mb = 262'144;
    int rack_size = 8;
    duration max_hold = std::chrono::seconds(6);
    duration stop_time = std::chrono::milliseconds(200);
    duration gang_timeout = std::chrono::seconds(3);
    /// Number of workers, from the first, with the label "b" instead of "a".
    int special = 0;
  };

  /// A run at work.
  struct run {
    std::int64_t number = 0;
    work what;
    instant began;
    std::optional<instant> stops_at;
    duration done{0};
  };

  minions(boost::asio::io_context& context, store& rows, options chosen);

  bool Start();

  int Count() const { return static_cast<int>(workers_.size()); }

  /// Returns the share of all cores that is in use.
  double UsedShare() const;
  /// Returns how many more tasks of `cpu` fit now.
  std::int64_t RoomFor(std::int64_t cpu) const;
  int CountRunning(const std::string& job) const;
  int CountDone(const std::string& job) const;
  int CountFailed(const std::string& job) const;
  int CountStarts(const std::string& job) const;

 private:
  struct end {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  struct worker {
    std::string id;
    std::string address;
    std::string machine;
    std::shared_ptr<http_server> server;
    std::int64_t born = 0;
    instant clock_origin;
    std::uint64_t fence = 0;
    instant lease_end;
    std::uint64_t seq = 0;
    std::int64_t last_end = 0;
    std::map<std::string, run> running;
    std::map<std::string, std::int64_t>
        closed;  // Highest closed run of a task.
    std::vector<end> ends;
  };

  void Serve(int index, const http_exchange& exchange);
  http_response HandleStart(worker& at, const nlohmann::json& order);
  http_response HandleStop(worker& at, const nlohmann::json& order);
  http_response MakeList(const worker& at) const;
  void AnswerHold(int index,
                  const http_exchange& exchange,
                  std::size_t known_ends,
                  instant until);
  std::int64_t ClockOf(const worker& at) const;
  void Extend(worker& at, std::int64_t until);
  void Close(worker& at, const std::string& task, const std::string& how);
  void Advance();
  void Report();
  bool IsGangPresent(const std::string& task, const run& member) const;

  boost::asio::io_context& context_;
  store& rows_;
  const options options_;
  counter_table counters_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::map<std::string, std::set<std::string>> done_;  // Tasks of a job.
  std::map<std::string, int> failed_;
  std::map<std::string, int> starts_;
  std::map<std::pair<std::string, std::int64_t>, int> present_;  // Of gangs.
  instant last_advance_;
};

}  // namespace sassafras::review

#endif  // SASSAFRAS_REVIEW_STANDIN_3_MINIONS_H_
