#include "bench/policy_site.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "sassafras/config/config_parse.h"

namespace sassafras {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr duration kSmallSiteLength = hours(24 * 10);
constexpr duration kTargetLength = hours(24 * 3);
constexpr duration kWarmUp = hours(24);
constexpr int kTargetRacks = 238;
constexpr int kTargetWorkers = 1'900;
constexpr int kTargetPlaces = 6;
constexpr int kTargetTeams = 460;
constexpr int kWorkersPerRack = 8;
constexpr resources kCapacity = {8, 130, 256'000};

result<config_ptr> ReadExample(const std::string& name) {
  std::vector<source_file> files;
  std::error_code failure;
  for (const auto& item :
       std::filesystem::directory_iterator("examples/" + name, failure)) {
    std::ostringstream text;
    text << std::ifstream(item.path()).rdbuf();
    files.push_back({item.path().filename().string(), text.str()});
  }
  if (failure) {
    return Fail(error_kind::kNotFound, "run it where examples/ is");
  }
  parsed_config parsed = ParseConfigSet(files, unknown_keys::kRefuse);
  if (!parsed.faults.empty()) {
    return Fail(error_kind::kInvalidConfig, parsed.faults.front().problem);
  }
  auto config = std::make_shared<published_config>();
  config->objects = std::move(parsed.objects);
  return config_ptr(std::move(config));
}

std::vector<load_part> PiwhmaLoad() {
  const std::vector<team_id> all = {{"heaters-lahore"},
                                    {"heaters-gujranwala"},
                                    {"standards-office"},
                                    {"dealers-faisalabad"}};
  const std::vector<team_id> heaters = {{"heaters-lahore"},
                                        {"heaters-gujranwala"}};
  const class_id batch{"certification-batch"};
  const class_id preview{"flame-preview"};
  const class_id simulation{"flame-simulation"};
  const class_id valve{"valve-analysis"};
  return {
      {valve, {"burner-4"}, {{"dealers-faisalabad"}}, 0.02, minutes(10), 2},
      {valve, {"burner-1"}, {{"standards-office"}}, 0.01, minutes(10), 4},
      {batch, {"burner-1"}, all, 0.10, hours(1), 60},
      {batch, {"burner-4"}, all, 0.12, hours(1), 20},
      {batch, {"burner-8"}, all, 0.10, hours(1), 10},
      {preview, {"burner-4"}, all, 0.10, hours(1), 8},
      {preview, {"burner-8"}, all, 0.15, hours(2), 4},
      {preview, {"flame-16"}, heaters, 0.10, hours(2), 2},
      {simulation, {"burner-8"}, all, 0.07, hours(4), 2},
      {simulation, {"flame-16"}, heaters, 0.08, hours(4), 2},
      {simulation, {"flame-32"}, heaters, 0.08, hours(4), 1},
      {simulation, {"flame-64"}, heaters, 0.05, hours(4), 1},
      {preview, {"flame-128"}, heaters, 0.02, hours(4), 1},
  };
}

std::vector<load_part> KitaranLoad() {
  const std::vector<team_id> all = {
      {"intake-counter"}, {"courier-returns"}, {"refill-line"}, {"chip-desk"}};
  const class_id batch{"shell-batch"};
  const class_id reset{"pallet-reset"};
  const class_id model{"quote-model"};
  return {
      {model, {"shell-4"}, {{"intake-counter"}}, 0.02, minutes(10), 2},
      {model, {"shell-1"}, {{"intake-counter"}}, 0.02, minutes(5), 6},
      {batch, {"shell-1"}, all, 0.15, minutes(30), 80},
      {batch, {"shell-2"}, all, 0.15, minutes(30), 40},
      {batch, {"shell-4"}, all, 0.20, hours(1), 20},
      {batch, {"pallet-8"}, all, 0.14, hours(1), 8},
      {reset, {"pallet-8"}, all, 0.12, hours(2), 4},
      {reset, {"pallet-16"}, all, 0.12, hours(2), 2},
      {batch, {"pallet-64"}, all, 0.08, hours(3), 1},
  };
}

shape MakeShape(const std::string& name,
                shape_level level,
                int workers,
                const resources& per_worker) {
  return {{name}, level, workers, per_worker};
}

void AddTargetWorld(config_set& objects) {
  for (int i = 0; i < kTargetPlaces; ++i) {
    const place_id id{"place-" + std::to_string(i)};
    objects.places[id] = {id, i < kTargetPlaces / 2 ? "north" : "south"};
  }
  for (int i = 0; i < kTargetRacks; ++i) {
    const rack_id id{"rack-" + std::to_string(i)};
    objects.racks[id] = {id, {"place-" + std::to_string(i % kTargetPlaces)}};
  }
  for (int i = 0; i < kTargetWorkers; ++i) {
    const worker_id id{"worker-" + std::to_string(i)};
    const rack_id rack{"rack-" + std::to_string(i / kWorkersPerRack)};
    objects.workers[id] = {id, rack, "", kCapacity, false};
  }
}

void AddTargetShapes(config_set& objects) {
  const resources one = {1, 8, 15'000};
  const resources four = {4, 32, 60'000};
  const resources whole = {8, 64, 120'000};
  const resources cores = {0, 2, 4'000};
  for (const shape& item :
       {MakeShape("a-1", shape_level::kWorker, 1, one),
        MakeShape("a-4", shape_level::kWorker, 1, four),
        MakeShape("a-8", shape_level::kWorker, 1, whole),
        MakeShape("a-16", shape_level::kRack, 2, whole),
        MakeShape("a-32", shape_level::kRack, 4, whole),
        MakeShape("a-64", shape_level::kRack, 8, whole),
        MakeShape("a-128", shape_level::kPlace, 16, whole),
        MakeShape("c-128", shape_level::kPlace, 128, cores)}) {
    objects.shapes[item.id] = item;
  }
}

// One guarantee for each team: 460 x 1.25 workers of accelerators at most.
void AddTargetTeams(config_set& objects) {
  const std::vector<guarantee> kinds = {
      {{"a-4"}, 1}, {{"a-8"}, 1}, {{"a-1"}, 2}, {{"a-16"}, 1}};
  for (int i = 0; i < kTargetTeams; ++i) {
    const team_id id{"team-" + std::to_string(i)};
    const std::size_t kind = static_cast<std::size_t>(i) % kinds.size();
    objects.teams[id] = {id, 1 + i % 4, {kinds[kind]}, {}};
  }
}

void AddTargetClasses(config_set& objects) {
  job_class urgent;
  urgent.id = {"urgent"};
  urgent.kind = class_kind::kJob;
  urgent.urgency_level = urgency::kUrgent;
  job_class batch = urgent;
  batch.id = {"batch"};
  batch.urgency_level = urgency::kBatch;
  batch.can_checkpoint = true;
  batch.checkpoint_grace = std::chrono::seconds(3);
  job_class billed = urgent;
  billed.id = {"billed"};
  billed.urgency_level = urgency::kNormal;
  billed.is_idempotent = false;
  for (const job_class& item : {urgent, batch, billed}) {
    objects.classes[item.id] = item;
  }
}

std::vector<load_part> TargetLoad(const config_set& objects) {
  std::vector<team_id> all;
  std::vector<team_id> with_four;
  for (const auto& [id, item] : objects.teams) {
    all.push_back(id);
    if (item.guarantees.front().shape == shape_id{"a-4"}) {
      with_four.push_back(id);
    }
  }
  const class_id batch{"batch"};
  const class_id billed{"billed"};
  return {
      {{"urgent"}, {"a-4"}, with_four, 0.02, minutes(30), 2},
      {batch, {"a-1"}, all, 0.03, hours(4), 30},
      {batch, {"a-4"}, all, 0.10, hours(4), 10},
      {batch, {"a-8"}, all, 0.15, hours(5), 4},
      {billed, {"a-16"}, all, 0.15, hours(6), 2},
      {batch, {"a-32"}, all, 0.20, hours(6), 2},
      {billed, {"a-64"}, all, 0.20, hours(6), 1},
      {batch, {"a-128"}, all, 0.15, hours(6), 1},
      {batch, {"c-128"}, all, 0, hours(6), 4},
  };
}

policy_site TargetSite() {
  auto config = std::make_shared<published_config>();
  AddTargetWorld(config->objects);
  AddTargetShapes(config->objects);
  AddTargetTeams(config->objects);
  AddTargetClasses(config->objects);
  policy_site site;
  site.load = TargetLoad(config->objects);
  site.config = std::move(config);
  site.length = kTargetLength;
  site.warm_up = kWarmUp;
  site.large_gang = 128;
  return site;
}

}  // namespace

result<policy_site> MakePolicySite(const std::string& name) {
  if (name == "target") {
    return TargetSite();
  }
  if (name != "piwhma" && name != "kitaran") {
    return Fail(error_kind::kNotFound, "no site " + name);
  }
  policy_site site;
  BOOST_OUTCOME_TRY(site.config, ReadExample(name));
  site.load = name == "piwhma" ? PiwhmaLoad() : KitaranLoad();
  site.length = kSmallSiteLength;
  site.warm_up = kWarmUp;
  site.large_gang = 64;
  return site;
}

}  // namespace sassafras
