#include "sassafras/sched/job_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace sassafras::sched {
namespace {

using nlohmann::json;

constexpr int kRowFormat = 1;
// Optional elements of a recorded unit; rows of earlier builds end before them.
constexpr std::size_t kRunFailedIndex = 8;
constexpr std::size_t kCrashesIndex = 9;
constexpr std::size_t kUnresolvedIndex = 10;
// Optional element of a recorded member.
constexpr std::size_t kAddressIndex = 3;
constexpr std::string_view kCancelSuffix = ".cancel";
// kJobTable without the slash; parts are named after it.
constexpr std::string_view kJobTableName = "jobs";

json ToJson(const step_spec& step) {
  json document = {{"count", step.count},
                   {"millicores", step.needs.millicores},
                   {"memory_mb", step.needs.memory_mb},
                   {"accelerators", step.needs.accelerators},
                   {"estimate_us", step.estimate.count()}};
  if (!step.after.empty()) {
    document["after"] = step.after;
  }
  const auto set_flag = [&](const char* name, bool value) {
    if (value) {
      document[name] = true;
    }
  };
  set_flag("saves", step.saves_progress);
  set_flag("gang", step.is_gang);
  set_flag("one_rack", step.wants_one_rack);
  set_flag("persistent", step.is_persistent);
  set_flag("copies", step.may_run_copies);
  set_flag("filler", step.is_filler);
  if (!step.image.empty()) {
    document["image"] = step.image;
  }
  if (step.tail_latency_target > duration(0)) {
    document["tail_target_us"] = step.tail_latency_target.count();
  }
  if (step.max_unavailable > 0) {
    document["may_miss"] = step.max_unavailable;
  }
  if (step.max_per_minion > 0) {
    document["max_per_minion"] = step.max_per_minion;
  }
  if (!step.required_label.empty()) {
    document["label"] = step.required_label;
  }
  if (!step.data_rack.empty()) {
    document["data_rack"] = step.data_rack;
  }
  return document;
}

step_spec ToStep(const json& document) {
  step_spec step;
  step.count = document.at("count");
  step.needs.millicores = document.at("millicores");
  step.needs.memory_mb = document.at("memory_mb");
  step.needs.accelerators = document.at("accelerators");
  step.estimate = duration(document.at("estimate_us").get<std::int64_t>());
  step.after = document.value("after", std::vector<int>());
  step.saves_progress = document.value("saves", false);
  step.is_gang = document.value("gang", false);
  step.wants_one_rack = document.value("one_rack", false);
  step.is_persistent = document.value("persistent", false);
  step.may_run_copies = document.value("copies", false);
  step.is_filler = document.value("filler", false);
  step.image = document.value("image", std::string());
  step.tail_latency_target =
      duration(document.value("tail_target_us", std::int64_t{0}));
  step.max_unavailable = document.value("may_miss", 0);
  step.max_per_minion = document.value("max_per_minion", 0);
  step.required_label = document.value("label", std::string());
  step.data_rack = document.value("data_rack", std::string());
  return step;
}

json ToJson(const std::vector<recorded_member>& members) {
  json rows = json::array();
  for (const recorded_member& member : members) {
    rows.push_back(json::array({member.index, member.minion,
                                member.incarnation_unix_ms, member.address}));
  }
  return rows;
}

std::vector<recorded_member> ToMembers(const json& rows) {
  std::vector<recorded_member> members;
  for (const json& row : rows) {
    members.push_back({row.at(0), row.at(1), row.at(2),
                       row.size() > kAddressIndex
                           ? row.at(kAddressIndex).get<std::string>()
                           : std::string()});
  }
  return members;
}

json ToJson(const recorded_unit& unit) {
  json document = json::array({unit.occurrence, unit.step, unit.index, unit.run,
                               unit.failed_runs, unit.is_done, unit.checkpoint,
                               ToJson(unit.members)});
  const bool has_losses = !unit.crashes.empty() || !unit.unresolved.empty();
  if (unit.has_run_failed || has_losses) {
    document.push_back(unit.has_run_failed);
  }
  if (has_losses) {
    json crashes = json::array();
    for (const task_crashes& task : unit.crashes) {
      crashes.push_back(json::array({task.index, task.crashes, task.blamed}));
    }
    document.push_back(std::move(crashes));
    document.push_back(ToJson(unit.unresolved));
  }
  return document;
}

recorded_unit ToUnit(const json& document) {
  recorded_unit unit;
  unit.occurrence = document.at(0);
  unit.step = document.at(1);
  unit.index = document.at(2);
  unit.run = document.at(3);
  unit.failed_runs = document.at(4);
  unit.is_done = document.at(5);
  unit.checkpoint = document.at(6);
  unit.members = ToMembers(document.at(7));
  unit.has_run_failed =
      document.size() > kRunFailedIndex && document.at(kRunFailedIndex);
  if (document.size() > kCrashesIndex) {
    for (const json& task : document.at(kCrashesIndex)) {
      unit.crashes.push_back({task.at(0), task.at(1), task.at(2)});
    }
  }
  if (document.size() > kUnresolvedIndex) {
    unit.unresolved = ToMembers(document.at(kUnresolvedIndex));
  }
  return unit;
}

json ToJson(const done_units& done) {
  if (done.first_occurrence == done.last_occurrence) {
    return json::array(
        {done.first_occurrence, done.step, done.first_index, done.last_index});
  }
  return json::array({done.step,
                      json::array({done.first_occurrence, done.first_index}),
                      json::array({done.last_occurrence, done.last_index})});
}

done_units ToRange(const json& range) {
  done_units done;
  if (range.at(1).is_array()) {
    done.step = range.at(0);
    done.first_occurrence = range.at(1).at(0);
    done.first_index = range.at(1).at(1);
    done.last_occurrence = range.at(2).at(0);
    done.last_index = range.at(2).at(1);
    return done;
  }
  done.first_occurrence = done.last_occurrence = range.at(0);
  done.step = range.at(1);
  done.first_index = range.at(2);
  done.last_index = range.at(3);
  return done;
}

}  // namespace

std::string_view GetName(job_row_kind kind) {
  switch (kind) {
    case job_row_kind::kAccepted:
      return "accepted";
    case job_row_kind::kRefused:
      return "refused";
    case job_row_kind::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

// Builds that do not know the kind kCancelled take its rows for malformed ones
// and refuse submissions of the id, too.
std::string EncodeJobRow(const job_row& row) {
  if (!row.IsAccepted()) {
    json tombstone = {{"format", kRowFormat},
                      {std::string(GetName(row.kind)), true}};
    if (row.refusals > 0) {
      tombstone["refusals"] = row.refusals;
    }
    return tombstone.dump();
  }
  const accepted_job& job = row.job;
  json steps = json::array();
  for (const step_spec& step : job.spec.steps) {
    steps.push_back(ToJson(step));
  }
  json document = {{"format", kRowFormat},
                   {"id", job.id},
                   {"queue", job.queue},
                   {"service", job.service},
                   {"team", job.team},
                   {"priority", job.priority},
                   {"attempts", job.max_attempts},
                   {"stretch", job.stretch},
                   {"target_us", job.target.count()},
                   {"payload", job.spec.payload},
                   {"steps", std::move(steps)}};
  if (job.spec.occurrences > 0) {
    document["occurrences"] = job.spec.occurrences;
    document["first_due_unix_ms"] = job.spec.first_due_unix_ms;
    document["interval_ms"] = job.spec.interval_ms;
  }
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<job_row> DecodeJobRow(const std::string& text) {
  try {
    const json document = json::parse(text);
    job_row row;
    for (const job_row_kind kind :
         {job_row_kind::kRefused, job_row_kind::kCancelled}) {
      if (document.value(std::string(GetName(kind)), false)) {
        row.kind = kind;
        row.refusals = std::max(0, document.value("refusals", 0));
        return row;
      }
    }
    accepted_job& job = row.job;
    job.id = document.at("id");
    job.queue = document.at("queue");
    job.service = document.at("service");
    job.team = document.at("team");
    job.priority = document.at("priority");
    job.max_attempts = document.at("attempts");
    job.stretch = document.at("stretch");
    job.target = duration(document.at("target_us").get<std::int64_t>());
    job.spec.payload = document.at("payload");
    for (const json& step : document.at("steps")) {
      job.spec.steps.push_back(ToStep(step));
    }
    job.spec.occurrences = document.value("occurrences", 0);
    job.spec.first_due_unix_ms =
        document.value("first_due_unix_ms", std::int64_t{0});
    job.spec.interval_ms = document.value("interval_ms", std::int64_t{0});
    if (const auto fault = FindFault(job.spec)) {
      return Fail(error_kind::kMalformed, *fault);
    }
    return row;
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

std::optional<std::string> FindStorageFault(const job_spec& spec,
                                            std::size_t row_bytes) {
  if (row_bytes > kMaxRowBytes) {
    return "the job takes " + std::to_string(row_bytes) + " bytes, at most " +
           std::to_string(kMaxRowBytes) + " are kept of one";
  }
  constexpr int kMaxGangTasks =
      static_cast<int>(kMaxRowBytes) / kMinMemberBytes;
  for (const step_spec& step : spec.steps) {
    if (step.is_gang && step.count > kMaxGangTasks) {
      return "a gang has " + std::to_string(step.count) + " tasks, at most " +
             std::to_string(kMaxGangTasks) + " can run together";
    }
  }
  return std::nullopt;
}

std::string JobPartPrefix(int part) {
  return std::string(kJobTableName) + ":" + std::to_string(part) + "/";
}

// The digits of ids are random, so that their sum spreads jobs evenly.
std::string JobKey(const std::string& id) {
  const int sum =
      std::accumulate(id.begin(), id.end(), 0, [](int total, char digit) {
        return total + static_cast<unsigned char>(digit);
      });
  return JobPartPrefix(sum % kJobParts) + id;
}

std::string CancelKey(const std::string& id) {
  return JobKey(id) + std::string(kCancelSuffix);
}

std::string CancelledId(const std::string& key) {
  const std::size_t slash = key.find('/');
  if (slash == std::string::npos || !key.starts_with(kJobTableName) ||
      !key.ends_with(kCancelSuffix)) {
    return {};
  }
  const std::size_t begin = slash + 1;
  return key.substr(begin, key.size() - begin - kCancelSuffix.size());
}

std::string EncodeWaitingCounts(const std::map<std::string, int>& waiting) {
  return json(waiting).dump();
}

result<std::map<std::string, int>> DecodeWaitingCounts(
    const std::string& text) {
  try {
    return json::parse(text).get<std::map<std::string, int>>();
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

std::string EncodeRecord(const job_record& record) {
  json ranges = json::array();
  for (const done_units& done : record.done) {
    ranges.push_back(ToJson(done));
  }
  json units = json::array();
  for (const recorded_unit& unit : record.units) {
    units.push_back(ToJson(unit));
  }
  return json{{"format", kRowFormat},
              {"state", static_cast<int>(record.state)},
              {"done", std::move(ranges)},
              {"units", std::move(units)}}
      .dump();
}

result<job_record> DecodeRecord(const std::string& text) {
  try {
    const json document = json::parse(text);
    job_record record;
    const int state = document.at("state");
    if (state < 0 || state > static_cast<int>(job_state::kCancelled)) {
      return Fail(error_kind::kMalformed, "state of a record");
    }
    record.state = static_cast<job_state>(state);
    for (const json& range : document.value("done", json::array())) {
      record.done.push_back(ToRange(range));
    }
    for (const json& unit : document.at("units")) {
      record.units.push_back(ToUnit(unit));
    }
    return record;
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

}  // namespace sassafras::sched
