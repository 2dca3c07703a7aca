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
  item.order = order;
  item.idempotent = idempotent;
  item.checkpoint = order == urgency::kBatch;
  item.checkpoint_grace = seconds(item.checkpoint ? 3 : 0);
  return item;
}

// Two racks of eight workers; "owner" is promised two pairs of whole workers,
// "other" one whole worker, "guest" nothing.
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

// Carries out what a planner decides, and checks each decision against what is
// held: no overcommit, and every unused guarantee fits beside firm work.
class site {
 public:
  site() : config_(MakeConfig()), subject_({}, counters_) {
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
      REQUIRE(held_.at(stop.job).borrowed);
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

  void SetUsable(int worker, bool usable) {
    if (usable) {
      broken_.erase(WorkerName(worker));
    } else {
      broken_.insert(WorkerName(worker));
    }
    subject_.SetUsable(WorkerName(worker), usable);
  }

  void Publish(const config_ptr& config) { subject_.SetConfig(config); }

  bool IsHeld(const job_id& job) const { return held_.count(job) > 0; }
  bool IsBorrowed(const job_id& job) const { return held_.at(job).borrowed; }
  const std::map<job_id, planned_start>& Held() const { return held_; }
  planner& Subject() { return subject_; }

 private:
  std::vector<worker_space> Spaces(bool with_borrowed) const {
    std::map<worker_id, std::size_t> index;
    std::vector<worker_space> spaces;
    for (int i = 0; i < kWorkers; ++i) {
      index[WorkerName(i)] = spaces.size();
      const bool broken = broken_.count(WorkerName(i)) > 0;
      spaces.push_back({i / kRackSize, 0,
                        broken && !with_borrowed ? resources{} : kCapacity});
    }
    for (const auto& [job, start] : held_) {
      const shape& held = config_->objects.shapes.at(jobs_.at(job).shape);
      for (const worker_id& worker : start.workers) {
        if (with_borrowed || !start.borrowed) {
          spaces[index.at(worker)].free -= held.per_worker;
        }
      }
    }
    return spaces;
  }

  // Guarantees that no job of the team can be using.
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
          used += !start.borrowed && known.team == id && fits ? 1 : 0;
        }
        demands.push_back({wanted.level, wanted.workers, wanted.per_worker,
                           std::max(promise.count - used, 0)});
      }
    }
    return demands;
  }

  void CheckHeld() const {
    for (const worker_space& space : Spaces(/*with_borrowed=*/true)) {
      REQUIRE(space.free.Holds({}));
    }
    if (subject_.BrokenGuarantees().empty() && broken_.empty()) {
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
  std::set<worker_id> broken_;
};

TEST_CASE("A shape that the inventory cannot hold is refused at submission") {
  site world;
  const auto nine =
      world.Subject().Add(world.MakeJob("guest", "batch", "nine"));
  REQUIRE(nine);
  CHECK(nine->kind == error_kind::kNeverFits);

  SECTION("so is billed work that never fits beside the guarantees") {
    const auto all =
        world.Subject().Add(world.MakeJob("guest", "billed", "all"));
    REQUIRE(all);
    CHECK(all->kind == error_kind::kNeverFits);
    CHECK_FALSE(world.Subject().Add(world.MakeJob("guest", "batch", "all")));
  }
}

TEST_CASE("Idle guarantees are lent and reclaimed") {
  site world;
  for (int i = 0; i < kWorkers; ++i) {
    world.Submit("guest", "batch", "whole");
  }
  CHECK(world.Decide().starts.size() == kWorkers);

  SECTION("the owner's gang evicts two borrowed jobs and no more") {
    const job_id gang = world.Submit("owner", "urgent", "pair");
    const plan reclaim = world.Decide();
    REQUIRE(reclaim.stops.size() == 2);
    CHECK(reclaim.stops[0].beneficiary == gang);
    CHECK(reclaim.stops[0].checkpoint);
    CHECK(reclaim.starts.empty());

    SECTION("nothing else is stopped while the victims take their time") {
      CHECK(world.Decide().stops.empty());
    }
    SECTION("it starts whole once both have stopped") {
      world.FinishStops();
      const plan next = world.Decide();
      REQUIRE(next.starts.size() == 1);
      CHECK(next.starts[0].job == gang);
      CHECK_FALSE(next.starts[0].borrowed);
      CHECK(next.stops.empty());
    }
    SECTION("it moves on when one of its workers breaks meanwhile") {
      world.FinishStops();
      for (int i = 0; i < kWorkers; ++i) {
        if (std::none_of(world.Held().begin(), world.Held().end(),
                         [&](const auto& item) {
                           return item.second.workers[0] == WorkerName(i);
                         })) {
          world.SetUsable(i, false);
          break;
        }
      }
      world.Decide();
      world.FinishStops();
      world.Decide();
      CHECK(world.IsHeld(gang));
    }
  }

  SECTION("a team without a guarantee waits") {
    world.Submit("guest", "urgent", "pair");
    CHECK(world.Decide().stops.empty());
  }
}

TEST_CASE("A smaller job borrows first and then uses a larger guarantee") {
  site world;
  const job_id first = world.Submit("owner", "batch", "whole");
  world.Decide();
  CHECK(world.IsBorrowed(first));
  for (int i = 1; i < kWorkers; ++i) {
    world.Submit("guest", "batch", "whole");
  }
  world.Decide();
  for (int i = 0; i < 5; ++i) {
    world.Submit("owner", "batch", "whole");
  }
  // Two pairs hold four whole workers; the fifth job waits.
  CHECK(world.Decide().stops.size() == 4);
  world.FinishStops();
  CHECK(world.Decide().starts.size() == 4);
}

TEST_CASE("Billed work is never evicted and keeps off what is promised") {
  site world;
  for (int i = 0; i < kWorkers; ++i) {
    world.Submit("guest", "billed", "whole");
  }
  world.Decide();
  // Five of the sixteen workers are promised.
  CHECK(world.Held().size() == 11);
  const job_id gang = world.Submit("owner", "urgent", "pair");
  const plan next = world.Decide();
  CHECK(next.stops.empty());
  CHECK(world.IsHeld(gang));
}

TEST_CASE("Broken workers break guarantees visibly and repair comes first") {
  site world;
  for (int i = 0; i < 13; ++i) {
    world.SetUsable(i, false);
  }
  world.Decide();
  CHECK(world.Subject().BrokenGuarantees() == std::vector<team_id>{{"owner"}});
  world.Submit("guest", "billed", "whole");
  CHECK(world.Decide().starts.empty());

  SECTION("they are whole again when workers return") {
    for (int i = 0; i < 4; ++i) {
      world.SetUsable(i, true);
    }
    CHECK(world.Decide().starts.size() == 1);
    CHECK(world.Subject().BrokenGuarantees().empty());
  }
}

TEST_CASE("A takeover reads back who holds what") {
  site world;
  counter_table counters;
  planner heir({}, counters);
  heir.SetConfig(MakeConfig());
  const planned_job gang = world.MakeJob("owner", "billed", "pair");
  const planned_job loan = world.MakeJob("guest", "batch", "whole");
  heir.AddPlaced(gang, {WorkerName(3), WorkerName(5)}, false,
                 job_phase::kRunning, {});
  heir.AddPlaced(loan, {WorkerName(0)}, true, job_phase::kRunning, {});
  for (int i = 0; i < kWorkers; ++i) {
    REQUIRE_FALSE(heir.Add(world.MakeJob("guest", "billed", "whole")));
  }
  const plan next = heir.Decide(instant(hours(1)));
  // Of sixteen workers the recorded jobs hold three. Three are promised, and
  // one of these is lent already.
  CHECK(next.starts.size() == 11);
  for (const planned_start& start : next.starts) {
    CHECK(start.workers[0] != WorkerName(0));
    CHECK(start.workers[0] != WorkerName(3));
    CHECK(start.workers[0] != WorkerName(5));
  }
}

TEST_CASE("A removed class or team leaves its jobs where they are") {
  site world;
  const job_id running = world.Submit("other", "batch", "whole");
  world.Decide();
  const job_id waiting = world.Submit("other", "batch", "all");
  auto smaller = MakeConfig();
  smaller->objects.teams.erase({"other"});
  world.Publish(smaller);
  const plan next = world.Decide();
  CHECK(next.stops.empty());
  CHECK(world.IsHeld(running));
  CHECK_FALSE(world.IsHeld(waiting));
  CHECK(world.Subject().Explain(waiting).find("other") != std::string::npos);
}

TEST_CASE("A waiting gang is not starved by small jobs") {
  site world;
  std::vector<job_id> small;
  small.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    small.push_back(world.Submit("guest", "billed", "whole"));
  }
  world.Decide();
  std::erase_if(small, [&](const job_id& job) { return !world.IsHeld(job); });
  const job_id gang = world.Submit("other", "billed", "rack");
  for (int round = 0; round < 40 && !world.IsHeld(gang); ++round) {
    world.FinishStops();
    world.FinishStops();
    world.FinishStops();
    world.FinishStops();
    world.Decide();
    world.Submit("guest", "billed", "whole");
    if (!small.empty()) {
      world.End(small.back());
      small.pop_back();
    }
  }
  CHECK(world.IsHeld(gang));
}

TEST_CASE("No sequence of events overcommits or breaks a guarantee") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    site world;
    random_engine random(seed);
    std::uniform_int_distribution<int> dice(0, 99);
    const std::vector<std::string> teams = {"guest", "other", "owner"};
    const std::vector<std::string> classes = {"batch", "urgent", "billed"};
    const std::vector<std::string> shapes = {"one", "whole", "pair", "rack"};
    for (int step = 0; step < 300; ++step) {
      const int roll = dice(random);
      const auto pick = [&](const std::vector<std::string>& from) {
        return from[static_cast<std::size_t>(dice(random)) % from.size()];
      };
      if (roll < 50) {
        world.Submit(pick(teams), pick(classes), pick(shapes));
      } else if (roll < 75 && !world.Held().empty()) {
        auto it = world.Held().begin();
        std::advance(it, dice(random) % static_cast<int>(world.Held().size()));
        world.End(job_id(it->first));
      } else if (roll < 90) {
        world.FinishStops();
      } else if (roll < 93) {
        world.SetUsable(dice(random) % kWorkers, roll == 92);
      } else if (roll < 95) {
        world.Publish(MakeConfig());
      }
      world.Decide();
    }
  }
}

}  // namespace
}  // namespace sassafras
