#include "sassafras/job/planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "sassafras/core/random.h"
#include "sassafras/world/packing.h"

namespace sassafras {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr int kWorkers = 16;
constexpr int kRackSize = 8;
constexpr resources kCapacity = {8, 130, 256'000};
constexpr resources kWhole = {8, 128, 240'000};
constexpr resources kOne = {1, 16, 30'000};

worker_id WorkerName(int i) {
  return {(i < 10 ? "w0" : "w") + std::to_string(i)};
}

job_class MakeClass(const std::string& name, urgency order, bool idempotent) {
  job_class item;
  item.id = {name};
  item.kind = class_kind::kJob;
  item.urgency_level = order;
  item.is_idempotent = idempotent;
  item.can_checkpoint = order == urgency::kBatch;
  item.checkpoint_grace = seconds(item.can_checkpoint ? 3 : 0);
  return item;
}

// Two racks of eight workers; "owner" is promised two pairs of whole workers,
// "other" one whole worker, "guest" has no guarantee.
std::shared_ptr<published_config> MakeConfig() {
  auto config = std::make_shared<published_config>();
  config_set& objects = config->objects;
  objects.places[{"p"}] = {{"p"}, "r"};
  for (int i = 0; i < kWorkers; ++i) {
    const rack_id rack{"r" + std::to_string(i / kRackSize)};
    objects.racks[rack] = {rack, {"p"}};
    objects.workers[WorkerName(i)] = {WorkerName(i), rack, "", kCapacity};
  }
  objects.shapes[{"one"}] = {{"one"}, shape_level::kWorker, 1, kOne};
  objects.shapes[{"whole"}] = {{"whole"}, shape_level::kWorker, 1, kWhole};
  objects.shapes[{"pair"}] = {{"pair"}, shape_level::kRack, 2, kWhole};
  objects.shapes[{"rack"}] = {{"rack"}, shape_level::kRack, 8, kWhole};
  objects.shapes[{"nine"}] = {{"nine"}, shape_level::kRack, 9, kWhole};
  objects.shapes[{"all"}] = {{"all"}, shape_level::kPlace, 16, kWhole};
  objects.teams[{"guest"}] = {{"guest"}, 1, {}, {}};
  objects.teams[{"other"}] = {{"other"}, 1, {{{"whole"}, 1}}, {}};
  objects.teams[{"owner"}] = {{"owner"}, 1, {{{"pair"}, 2}}, {}};
  for (const job_class& item : {MakeClass("batch", urgency::kBatch, true),
                                MakeClass("urgent", urgency::kUrgent, true),
                                MakeClass("billed", urgency::kNormal, false)}) {
    objects.classes[item.id] = item;
  }
  return config;
}

// Applies the decisions of a planner and checks each of them against the held
// workers: no overcommitment, and all unused guarantees fit beside firm jobs.
class planner_fixture {
 public:
  planner_fixture() : config_(MakeConfig()), subject_({}, counters_) {
    subject_.SetConfig(config_);
  }

  planned_job MakeJob(const std::string& team,
                      const std::string& job_class,
                      const std::string& shape) {
    return {{"j" + std::to_string(next_++)},
            {team},
            {job_class},
            {shape},
            hours(1),
            now_};
  }

  job_id Submit(const std::string& team,
                const std::string& job_class,
                const std::string& shape) {
    const planned_job job = MakeJob(team, job_class, shape);
    REQUIRE_FALSE(subject_.Add(job));
    jobs_[job.id] = job;
    return job.id;
  }

  plan Decide() {
    plan decided = subject_.Decide(now_);
    for (const planned_start& start : decided.starts) {
      held_[start.job] = start;
      subject_.SetPhase(start.job, job_phase::kRunning, now_);
    }
    for (const planned_stop& stop : decided.stops) {
      REQUIRE(held_.at(stop.job).is_borrowed);
      stopping_.insert(stop.job);
    }
    CheckHeld();
    return decided;
  }

  void FinishStops() {
    now_ += seconds(3);
    for (const job_id& job : stopping_) {
      held_.erase(job);
      subject_.SetPhase(job, job_phase::kWaiting, now_);
    }
    stopping_.clear();
  }

  void End(const job_id& job) {
    held_.erase(job);
    stopping_.erase(job);
    subject_.Remove(job, hours(1));
  }

  void SetUsable(int worker, bool is_usable) {
    if (is_usable) {
      unusable_.erase(WorkerName(worker));
    } else {
      unusable_.insert(WorkerName(worker));
    }
    subject_.SetUsable(WorkerName(worker), is_usable);
  }

  void Publish(const config_ptr& config) { subject_.SetConfig(config); }

  bool IsHeld(const job_id& job) const { return held_.count(job) > 0; }
  bool IsBorrowed(const job_id& job) const { return held_.at(job).is_borrowed; }
  const std::map<job_id, planned_start>& Held() const { return held_; }
  planner& Subject() { return subject_; }

 private:
  std::vector<worker_free_capacity> Spaces(bool with_borrowed) const {
    std::map<worker_id, std::size_t> index;
    std::vector<worker_free_capacity> spaces;
    for (int i = 0; i < kWorkers; ++i) {
      index[WorkerName(i)] = spaces.size();
      const bool is_unusable = unusable_.count(WorkerName(i)) > 0;
      spaces.push_back(
          {i / kRackSize, 0,
           is_unusable && !with_borrowed ? resources{} : kCapacity});
    }
    for (const auto& [job, start] : held_) {
      const shape& held = config_->objects.shapes.at(jobs_.at(job).shape);
      for (const worker_id& worker : start.workers) {
        if (with_borrowed || !start.is_borrowed) {
          spaces[index.at(worker)].free -= held.per_worker;
        }
      }
    }
    return spaces;
  }

  // Guarantees that no job of their team can be using.
  std::vector<shape_demand> UnusedGuarantees() const {
    std::vector<shape_demand> demands;
    for (const auto& [id, item] : config_->objects.teams) {
      for (const guarantee& promise : item.guarantees) {
        const shape& wanted = config_->objects.shapes.at(promise.shape);
        int used = 0;
        for (const auto& [job, start] : held_) {
          const planned_job& known = jobs_.at(job);
          const shape& held = config_->objects.shapes.at(known.shape);
          const bool fits = held.workers <= wanted.workers &&
                            wanted.per_worker.Holds(held.per_worker);
          used += !start.is_borrowed && known.team == id && fits ? 1 : 0;
        }
        demands.push_back({wanted.level, wanted.workers, wanted.per_worker,
                           std::max(promise.count - used, 0)});
      }
    }
    return demands;
  }

  void CheckHeld() const {
    for (const worker_free_capacity& space : Spaces(/*with_borrowed=*/true)) {
      REQUIRE(space.free.Holds({}));
    }
    if (subject_.BrokenGuarantees().empty() && unusable_.empty()) {
      REQUIRE(PackShapes(Spaces(/*with_borrowed=*/false), UnusedGuarantees()));
    }
  }

  std::shared_ptr<published_config> config_;
  counter_table counters_;
  planner subject_;
  instant now_{hours(1)};
  int next_ = 0;
  std::map<job_id, planned_job> jobs_;
  std::map<job_id, planned_start> held_;
  std::set<job_id> stopping_;
  std::set<worker_id> unusable_;
};

TEST_CASE("Job whose shape the inventory cannot hold is refused when added") {
  planner_fixture fixture;
  const auto too_large_rack =
      fixture.Subject().Add(fixture.MakeJob("guest", "batch", "nine"));
  REQUIRE(too_large_rack);
  CHECK(too_large_rack->kind == error_kind::kNeverFits);

  SECTION("firm job that never fits beside the guarantees is refused") {
    const auto full_place =
        fixture.Subject().Add(fixture.MakeJob("guest", "billed", "all"));
    REQUIRE(full_place);
    CHECK(full_place->kind == error_kind::kNeverFits);
    CHECK_FALSE(
        fixture.Subject().Add(fixture.MakeJob("guest", "batch", "all")));
  }
}

TEST_CASE("Unused guarantees are lent to other teams and reclaimed") {
  planner_fixture fixture;
  for (int i = 0; i < kWorkers; ++i) {
    fixture.Submit("guest", "batch", "whole");
  }
  CHECK(fixture.Decide().starts.size() == kWorkers);

  SECTION("gang of the owner evicts exactly two borrowed jobs") {
    const job_id gang = fixture.Submit("owner", "urgent", "pair");
    const plan reclaim = fixture.Decide();
    REQUIRE(reclaim.stops.size() == 2);
    CHECK(reclaim.stops[0].beneficiary == gang);
    CHECK(reclaim.stops[0].should_checkpoint);
    CHECK(reclaim.starts.empty());

    SECTION("no other job is stopped while the victims are stopping") {
      CHECK(fixture.Decide().stops.empty());
    }
    SECTION("gang starts with all its workers after both victims stopped") {
      fixture.FinishStops();
      const plan next = fixture.Decide();
      REQUIRE(next.starts.size() == 1);
      CHECK(next.starts[0].job == gang);
      CHECK_FALSE(next.starts[0].is_borrowed);
      CHECK(next.stops.empty());
    }
    SECTION("gang starts on other workers if one of its workers fails") {
      fixture.FinishStops();
      for (int i = 0; i < kWorkers; ++i) {
        if (std::none_of(fixture.Held().begin(), fixture.Held().end(),
                         [&](const auto& item) {
                           return item.second.workers[0] == WorkerName(i);
                         })) {
          fixture.SetUsable(i, false);
          break;
        }
      }
      fixture.Decide();
      fixture.FinishStops();
      fixture.Decide();
      CHECK(fixture.IsHeld(gang));
    }
  }

  SECTION("job of a team without a guarantee evicts nothing") {
    fixture.Submit("guest", "urgent", "pair");
    CHECK(fixture.Decide().stops.empty());
  }
}

TEST_CASE("Smaller job borrows first and then uses a larger guarantee") {
  planner_fixture fixture;
  const job_id first = fixture.Submit("owner", "batch", "whole");
  fixture.Decide();
  CHECK(fixture.IsBorrowed(first));
  for (int i = 1; i < kWorkers; ++i) {
    fixture.Submit("guest", "batch", "whole");
  }
  fixture.Decide();
  for (int i = 0; i < 5; ++i) {
    fixture.Submit("owner", "batch", "whole");
  }
  // Two pairs hold four whole workers; the fifth job waits.
  CHECK(fixture.Decide().stops.size() == 4);
  fixture.FinishStops();
  CHECK(fixture.Decide().starts.size() == 4);
}

TEST_CASE("Firm job is never evicted and does not use promised workers") {
  planner_fixture fixture;
  for (int i = 0; i < kWorkers; ++i) {
    fixture.Submit("guest", "billed", "whole");
  }
  fixture.Decide();
  // Five of the sixteen workers are promised.
  CHECK(fixture.Held().size() == 11);
  const job_id gang = fixture.Submit("owner", "urgent", "pair");
  const plan next = fixture.Decide();
  CHECK(next.stops.empty());
  CHECK(fixture.IsHeld(gang));
}

TEST_CASE("Unbound guarantees are reported and block firm jobs") {
  planner_fixture fixture;
  for (int i = 0; i < 13; ++i) {
    fixture.SetUsable(i, false);
  }
  fixture.Decide();
  CHECK(fixture.Subject().BrokenGuarantees() ==
        std::vector<team_id>{{"owner"}});
  fixture.Submit("guest", "billed", "whole");
  CHECK(fixture.Decide().starts.empty());

  SECTION("guarantees are bound again after workers become usable") {
    for (int i = 0; i < 4; ++i) {
      fixture.SetUsable(i, true);
    }
    CHECK(fixture.Decide().starts.size() == 1);
    CHECK(fixture.Subject().BrokenGuarantees().empty());
  }
}

TEST_CASE("Recorded jobs keep their workers after a takeover") {
  planner_fixture fixture;
  counter_table counters;
  planner restored({}, counters);
  restored.SetConfig(MakeConfig());
  const planned_job gang = fixture.MakeJob("owner", "billed", "pair");
  const planned_job borrowed_job = fixture.MakeJob("guest", "batch", "whole");
  restored.AddPlaced(gang, {WorkerName(3), WorkerName(5)}, false,
                     job_phase::kRunning, {});
  restored.AddPlaced(borrowed_job, {WorkerName(0)}, true, job_phase::kRunning,
                     {});
  for (int i = 0; i < kWorkers; ++i) {
    REQUIRE_FALSE(restored.Add(fixture.MakeJob("guest", "billed", "whole")));
  }
  const plan next = restored.Decide(instant(hours(1)));
  // The recorded jobs hold three of sixteen workers. Three further workers are
  // promised, one of them already lent.
  CHECK(next.starts.size() == 11);
  for (const planned_start& start : next.starts) {
    CHECK(start.workers[0] != WorkerName(0));
    CHECK(start.workers[0] != WorkerName(3));
    CHECK(start.workers[0] != WorkerName(5));
  }
}

TEST_CASE(
    "Jobs of a removed team keep their workers but are not placed again") {
  planner_fixture fixture;
  const job_id running = fixture.Submit("other", "batch", "whole");
  fixture.Decide();
  const job_id waiting = fixture.Submit("other", "batch", "all");
  auto smaller = MakeConfig();
  smaller->objects.teams.erase({"other"});
  fixture.Publish(smaller);
  const plan next = fixture.Decide();
  CHECK(next.stops.empty());
  CHECK(fixture.IsHeld(running));
  CHECK_FALSE(fixture.IsHeld(waiting));
  CHECK(fixture.Subject().Explain(waiting).find("other") != std::string::npos);
}

TEST_CASE("Waiting gang is not starved by a stream of smaller jobs") {
  planner_fixture fixture;
  std::vector<job_id> small;
  small.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    small.push_back(fixture.Submit("guest", "billed", "whole"));
  }
  fixture.Decide();
  std::erase_if(small, [&](const job_id& job) { return !fixture.IsHeld(job); });
  const job_id gang = fixture.Submit("other", "billed", "rack");
  for (int round = 0; round < 40 && !fixture.IsHeld(gang); ++round) {
    fixture.FinishStops();
    fixture.FinishStops();
    fixture.FinishStops();
    fixture.FinishStops();
    fixture.Decide();
    fixture.Submit("guest", "billed", "whole");
    if (!small.empty()) {
      fixture.End(small.back());
      small.pop_back();
    }
  }
  CHECK(fixture.IsHeld(gang));
}

TEST_CASE("Random events neither overcommit workers nor break a guarantee") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    planner_fixture fixture;
    random_engine random(seed);
    std::uniform_int_distribution<int> percentage(0, 99);
    const std::vector<std::string> teams = {"guest", "other", "owner"};
    const std::vector<std::string> classes = {"batch", "urgent", "billed"};
    const std::vector<std::string> shapes = {"one", "whole", "pair", "rack"};
    for (int step = 0; step < 300; ++step) {
      const int action = percentage(random);
      const auto pick_name = [&](const std::vector<std::string>& from) {
        return from[static_cast<std::size_t>(percentage(random)) % from.size()];
      };
      if (action < 50) {
        fixture.Submit(pick_name(teams), pick_name(classes), pick_name(shapes));
      } else if (action < 75 && !fixture.Held().empty()) {
        auto it = fixture.Held().begin();
        std::advance(
            it, percentage(random) % static_cast<int>(fixture.Held().size()));
        fixture.End(job_id(it->first));
      } else if (action < 90) {
        fixture.FinishStops();
      } else if (action < 93) {
        fixture.SetUsable(percentage(random) % kWorkers, action == 92);
      } else if (action < 95) {
        fixture.Publish(MakeConfig());
      }
      fixture.Decide();
    }
  }
}

}  // namespace
}  // namespace sassafras
