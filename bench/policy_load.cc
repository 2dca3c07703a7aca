#include "bench/policy_load.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "sassafras/core/random.h"

namespace sassafras {
namespace {

// Spread of the logarithm of running times, and of the declaration's error.
constexpr double kWorkSpread = 0.8;
constexpr double kErrorSpread = 0.7;
constexpr double kErrorMedian = 2;  // Declared over true time.
constexpr duration kLongestWork = std::chrono::hours(24);
// Part of the places that 128-member gangs without accelerators take.
constexpr double kCoreGangs = 340;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

duration FromSeconds(double seconds) {
  return duration(std::llround(seconds * 1e6));
}

int TotalAccelerators(const config_set& objects) {
  int sum = 0;
  for (const auto& [id, item] : objects.workers) {
    sum += item.capacity.accelerators;
  }
  return sum;
}

class load_maker {
 public:
  load_maker(const policy_site& site, std::uint64_t seed)
      : site_(site), random_(seed) {}

  std::vector<offered_job> Make() {
    for (const load_part& part : site_.load) {
      MakePart(part);
    }
    std::stable_sort(jobs_.begin(), jobs_.end(),
                     [](const offered_job& a, const offered_job& b) {
                       return a.job.submitted < b.job.submitted;
                     });
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      jobs_[i].job.id = {"job-" + std::to_string(i)};
    }
    return std::move(jobs_);
  }

 private:
  // Mean time between bursts for which the part offers its weight of load.
  double MeanInterval(const load_part& part, const shape& wanted) const {
    const double mean_work =
        Seconds(part.median) * std::exp(kWorkSpread * kWorkSpread / 2);
    const double mean_burst = (1.0 + part.burst) / 2;
    if (wanted.TotalAccelerators() == 0) {
      return mean_burst * mean_work / kCoreGangs;
    }
    const double rate =
        site_.offered * part.weight * TotalAccelerators(site_.config->objects);
    return mean_burst * mean_work * wanted.TotalAccelerators() / rate;
  }

  void MakePart(const load_part& part) {
    const shape& wanted = site_.config->objects.shapes.at(part.shape);
    std::exponential_distribution<double> interval(1 /
                                                   MeanInterval(part, wanted));
    std::uniform_int_distribution<int> burst(1, part.burst);
    std::uniform_int_distribution<std::size_t> team(0, part.teams.size() - 1);
    for (double at = interval(random_); at < Seconds(site_.length);
         at += interval(random_)) {
      const team_id& owner = part.teams[team(random_)];
      for (int left = burst(random_); left > 0; --left) {
        AddJob(part, wanted, owner, at);
      }
    }
  }

  void AddJob(const load_part& part,
              const shape& wanted,
              const team_id& owner,
              double at) {
    std::lognormal_distribution<double> work(std::log(Seconds(part.median)),
                                             kWorkSpread);
    std::lognormal_distribution<double> error(std::log(kErrorMedian),
                                              kErrorSpread);
    offered_job item;
    item.work = std::min(FromSeconds(work(random_)), kLongestWork);
    item.accelerators = wanted.TotalAccelerators();
    item.job = {{},
                owner,
                part.job_class,
                part.shape,
                FromSeconds(Seconds(item.work) * error(random_)),
                instant(FromSeconds(at))};
    jobs_.push_back(std::move(item));
  }

  const policy_site& site_;
  random_engine random_;
  std::vector<offered_job> jobs_;
};

}  // namespace

std::vector<offered_job> MakeLoad(const policy_site& site, std::uint64_t seed) {
  return load_maker(site, seed).Make();
}

}  // namespace sassafras
