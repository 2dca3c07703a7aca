#include "programs/entry/forecast_watch.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

// Nothing is written while no job waits for long, so that the polls cost
// little.
constexpr duration kLongPollTimeout = std::chrono::seconds(10);
constexpr duration kRetryDelay = std::chrono::milliseconds(500);
constexpr std::size_t kMaxRows = 10;

}  // namespace

std::shared_ptr<forecast_watch> forecast_watch::Make(const table_port& table,
                                                     counter_table& counters,
                                                     hooks hooks) {
  return std::shared_ptr<forecast_watch>(
      new forecast_watch(table, counters, std::move(hooks)));
}

forecast_watch::forecast_watch(const table_port& table,
                               counter_table& counters,
                               hooks hooks)
    : table_(table), counters_(counters), hooks_(std::move(hooks)) {}

void forecast_watch::Start() {
  ReadTable();
}

duration forecast_watch::ExpectedWait(const std::string& queue,
                                      const std::string& team) const {
  if (Age() > kValidity) {
    return duration(0);
  }
  const std::lock_guard lock(mutex_);
  const auto it = queues_.find(queue);
  return it == queues_.end() ? duration(0) : it->second.WaitOf(team);
}

sched::queue_forecasts forecast_watch::Queues() const {
  const std::lock_guard lock(mutex_);
  return queues_;
}

duration forecast_watch::Age() const {
  const std::lock_guard lock(mutex_);
  return valid_since_ == instant() ? duration::max()
                                   : hooks_.now() - valid_since_;
}

void forecast_watch::Retry() {
  counters_.Add("forecast_follow_failed");
  hooks_.after(kRetryDelay, [weak = weak_from_this()] {
    if (const auto alive = weak.lock()) {
      alive->ReadTable();
    }
  });
}

// The age of a row that is found by a scan is not known. It is ignored: while
// jobs wait for long, the next one follows within a second.
void forecast_watch::ReadTable() {
  table_.scan(sched::kForecastTable, "", kMaxRows,
              [self = shared_from_this()](const read_answer& answer) {
                if (answer.state != answer_state::kDone) {
                  self->Retry();
                  return;
                }
                self->FollowTable(answer.store_version);
              });
}

void forecast_watch::FollowTable(std::uint64_t after) {
  table_.follow(sched::kForecastTable, after, kLongPollTimeout,
                [self = shared_from_this(), after,
                 sent = hooks_.now()](const follow_answer& answer) {
                  if (answer.state != answer_state::kDone) {
                    self->Retry();
                    return;
                  }
                  for (const table_row& row : answer.rows) {
                    self->ApplyRow(sent, row);
                  }
                  self->FollowTable(std::max(after, answer.store_version));
                });
}

// The row is as old as the poll at most: a process that stood still may read
// its answer late. While jobs wait for long, the next one follows within a
// second.
void forecast_watch::ApplyRow(instant sent, const table_row& row) {
  if (row.is_erased || row.key != sched::kForecastKey) {
    return;
  }
  auto decoded = sched::DecodeForecast(row.value);
  if (!decoded) {
    counters_.Add("forecast_malformed");
    LogEvent("forecast_malformed", {{"detail", decoded.error().detail}});
  }
  const std::lock_guard lock(mutex_);
  queues_ =
      decoded ? std::move(decoded.value().queues) : sched::queue_forecasts();
  valid_since_ = sent;
}

}  // namespace sassafras
