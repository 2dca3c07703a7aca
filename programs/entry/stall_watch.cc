#include "programs/entry/stall_watch.h"

#include <chrono>
#include <string>
#include <utility>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(500);
// Time after a stall within which everything is read that was waiting, also
// from callers whose machines repeat what was not acknowledged.
constexpr duration kTimeToReadBacklog = std::chrono::seconds(5);

}  // namespace

std::shared_ptr<stall_watch> stall_watch::Make(duration max_stall,
                                               counter_table& counters,
                                               hooks hooks) {
  return std::shared_ptr<stall_watch>(
      new stall_watch(max_stall, counters, std::move(hooks)));
}

stall_watch::stall_watch(duration max_stall,
                         counter_table& counters,
                         hooks hooks)
    : max_stall_(max_stall),
      counters_(counters),
      hooks_(std::move(hooks)),
      last_progress_(hooks_.now()) {}

void stall_watch::Start() {
  Tick();
}

void stall_watch::Tick() {
  {
    const std::lock_guard lock(mutex_);
    NoteProgress(hooks_.now());
  }
  hooks_.after(kTickInterval, [self = shared_from_this()] { self->Tick(); });
}

// A call may be read before the next tick, so that both ask.
bool stall_watch::MayReadOldCalls() {
  const std::lock_guard lock(mutex_);
  const instant now = hooks_.now();
  NoteProgress(now);
  return now < suspicious_until_;
}

void stall_watch::NoteProgress(instant now) {
  const duration stall = now - last_progress_;
  last_progress_ = now;
  if (stall <= max_stall_) {
    return;
  }
  suspicious_until_ = now + kTimeToReadBacklog;
  counters_.Add("process_stalled");
  LogEvent("process_stalled",
           {{"stood_still_ms", std::to_string(stall.count() / 1000)},
            {"max_ms", std::to_string(max_stall_.count() / 1000)}});
}

}  // namespace sassafras
