#include "sassafras/job/job_row.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "sassafras/core/digest.h"

namespace sassafras {
namespace {

using nlohmann::json;

constexpr std::size_t kIdDigits = 32;

template <class Enum, std::size_t Size>
struct name_table {
  std::array<std::pair<Enum, std::string_view>, Size> rows;

  std::string_view NameOf(Enum value) const {
    for (const auto& [known, name] : rows) {
      if (known == value) {
        return name;
      }
    }
    return {};
  }

  // Throws json::exception for an unknown name, as the json accessors do.
  Enum ValueOf(const std::string& name) const {
    for (const auto& [value, known] : rows) {
      if (known == name) {
        return value;
      }
    }
    throw json::other_error::create(501, "unknown name " + name, nullptr);
  }
};

constexpr name_table<job_state, 5> kStates = {{{
    {job_state::kWaiting, "waiting"},
    {job_state::kPlacing, "placing"},
    {job_state::kRunning, "running"},
    {job_state::kStopping, "stopping"},
    {job_state::kEnded, "ended"},
}}};

constexpr name_table<job_outcome, 6> kOutcomes = {{{
    {job_outcome::kNone, "none"},
    {job_outcome::kSucceeded, "succeeded"},
    {job_outcome::kFailed, "failed"},
    {job_outcome::kCancelled, "cancelled"},
    {job_outcome::kNotRun, "not_run"},
    {job_outcome::kUnknown, "unknown"},
}}};

constexpr name_table<stop_reason, 7> kReasons = {{{
    {stop_reason::kNone, "none"},
    {stop_reason::kStartFailed, "start_failed"},
    {stop_reason::kTaskFailed, "task_failed"},
    {stop_reason::kTaskLost, "task_lost"},
    {stop_reason::kEvicted, "evicted"},
    {stop_reason::kCancelled, "cancelled"},
    {stop_reason::kTakenOver, "taken_over"},
}}};

constexpr name_table<member_loss_policy, 2> kMemberLossPolicies = {{{
    {member_loss_policy::kRequeue, "requeue"},
    {member_loss_policy::kEnd, "end"},
}}};

json ToJson(const job_terms& terms) {
  return {{"idempotent", terms.is_idempotent},
          {"checkpoint", terms.can_checkpoint},
          {"checkpoint_grace_us", terms.checkpoint_grace.count()},
          {"max_restarts", terms.max_restarts},
          {"on_loss", kMemberLossPolicies.NameOf(terms.on_loss)},
          {"tasks", terms.tasks},
          {"accelerators", terms.need.accelerators},
          {"cores", terms.need.cores},
          {"memory_mb", terms.need.memory_mb}};
}

job_terms ToTerms(const json& document) {
  job_terms terms;
  terms.is_idempotent = document.at("idempotent");
  terms.can_checkpoint = document.at("checkpoint");
  terms.checkpoint_grace =
      duration(document.at("checkpoint_grace_us").get<std::int64_t>());
  terms.max_restarts = document.at("max_restarts");
  terms.on_loss = kMemberLossPolicies.ValueOf(document.at("on_loss"));
  terms.tasks = document.at("tasks");
  terms.need.accelerators = document.at("accelerators");
  terms.need.cores = document.at("cores");
  terms.need.memory_mb = document.at("memory_mb");
  return terms;
}

json ToJson(const std::vector<task_place>& placement) {
  json list = json::array();
  for (const task_place& place : placement) {
    list.push_back(
        {{"worker", place.worker.value}, {"address", place.address}});
  }
  return list;
}

std::vector<task_place> ToPlacement(const json& list) {
  std::vector<task_place> placement;
  for (const json& item : list) {
    placement.push_back(
        {worker_id{item.at("worker").get<std::string>()}, item.at("address")});
  }
  return placement;
}

json ToJson(const std::vector<failed_attempt>& failures) {
  json list = json::array();
  for (const failed_attempt& failure : failures) {
    json names = json::array();
    for (const worker_id& worker : failure.workers) {
      names.push_back(worker.value);
    }
    list.push_back({{"attempt", failure.attempt}, {"workers", names}});
  }
  return list;
}

std::vector<failed_attempt> ToFailures(const json& list) {
  std::vector<failed_attempt> failures;
  for (const json& item : list) {
    failed_attempt failure;
    failure.attempt = item.at("attempt");
    for (const json& name : item.at("workers")) {
      failure.workers.insert(worker_id{name.get<std::string>()});
    }
    failures.push_back(std::move(failure));
  }
  return failures;
}

json KnownFields(const job_row& row) {
  return {{"format", row.format},
          {"state", GetName(row.state)},
          {"team", row.team.value},
          {"class", row.job_class.value},
          {"shape", row.shape.value},
          {"run_us", row.declared_run.count()},
          {"payload", row.payload},
          {"body_sha256", row.body_sha256},
          {"submitted_ms", row.submitted_ms},
          {"terms", ToJson(row.terms)},
          {"attempt", row.attempt},
          {"placement", ToJson(row.placement)},
          {"borrowed", row.is_borrowed},
          {"released", row.was_released},
          {"attempt_released", row.is_attempt_released},
          {"checkpoints", row.checkpoints},
          {"failures", ToJson(row.failures)},
          {"losses", row.losses},
          {"cancel_requested", row.cancel_requested},
          {"stopping_for", GetName(row.stopping_for)},
          {"outcome", GetName(row.outcome)},
          {"reason", row.reason}};
}

job_row ToRow(const json& document) {
  job_row row;
  row.format = document.at("format");
  row.state = kStates.ValueOf(document.at("state"));
  row.team.value = document.at("team");
  row.job_class.value = document.at("class");
  row.shape.value = document.at("shape");
  row.declared_run = duration(document.at("run_us").get<std::int64_t>());
  row.payload = document.at("payload");
  row.body_sha256 = document.at("body_sha256");
  row.submitted_ms = document.at("submitted_ms");
  row.terms = ToTerms(document.at("terms"));
  row.attempt = document.at("attempt");
  row.placement = ToPlacement(document.at("placement"));
  row.is_borrowed = document.at("borrowed");
  row.was_released = document.at("released");
  row.is_attempt_released = document.at("attempt_released");
  row.checkpoints = document.at("checkpoints").get<std::vector<std::string>>();
  row.failures = ToFailures(document.at("failures"));
  row.losses = document.at("losses");
  row.cancel_requested = document.at("cancel_requested");
  row.stopping_for = kReasons.ValueOf(document.at("stopping_for"));
  row.outcome = kOutcomes.ValueOf(document.at("outcome"));
  row.reason = document.at("reason");
  return row;
}

std::optional<int> ParseNumber(std::string_view text) {
  int number = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (code != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Whether placement, outcome and state of a decoded row are consistent.
bool IsConsistent(const job_row& row) {
  const bool is_placed = row.state == job_state::kPlacing ||
                         row.state == job_state::kRunning ||
                         row.state == job_state::kStopping;
  const bool is_whole =
      static_cast<int>(row.placement.size()) == row.terms.tasks;
  const bool has_outcome = row.outcome != job_outcome::kNone;
  return row.terms.tasks > 0 && row.attempt >= 0 && (!is_placed || is_whole) &&
         has_outcome == (row.state == job_state::kEnded);
}

}  // namespace

std::string_view GetName(job_state state) {
  return kStates.NameOf(state);
}

std::string_view GetName(job_outcome outcome) {
  return kOutcomes.NameOf(outcome);
}

std::string_view GetName(stop_reason reason) {
  return kReasons.NameOf(reason);
}

std::string EncodeJobRow(const job_row& row) {
  json document = json::parse(row.unknown_fields, nullptr, false);
  if (!document.is_object()) {
    document = json::object();
  }
  document.update(KnownFields(row));
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<job_row> DecodeJobRow(std::string_view key, std::string_view text) {
  if (key.substr(0, kJobPrefix.size()) != kJobPrefix) {
    return Fail(error_kind::kMalformed, std::string(key));
  }
  const auto id = job_id::Make(key.substr(kJobPrefix.size()));
  if (!id) {
    return Fail(error_kind::kMalformed, std::string(key));
  }
  try {
    json document = json::parse(text);
    job_row row = ToRow(document);
    row.id = *id;
    if (!IsConsistent(row)) {
      return Fail(error_kind::kMalformed, std::string(key));
    }
    const json known = KnownFields(row);
    for (const auto& [name, value] : known.items()) {
      document.erase(name);
    }
    if (!document.empty()) {
      row.unknown_fields = document.dump();
    }
    return row;
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

std::string JobKey(const job_id& job) {
  return std::string(kJobPrefix) + job.value;
}

std::string JobMarkerKey(const job_id& job) {
  return std::string(kJobMarkerPrefix) + job.value;
}

job_id MakeJobId(const team_id& team, std::string_view key) {
  // Team names contain no '/', so distinct pairs give distinct texts.
  const std::string digest = Sha256Hex(team.value + "/" + std::string(key));
  return job_id{digest.substr(0, kIdDigits)};
}

task_id MakeTaskId(const job_id& job, int attempt, int index) {
  return task_id{job.value + "." + std::to_string(attempt) + "." +
                 std::to_string(index)};
}

std::optional<task_parts> ParseTaskId(const task_id& task) {
  const std::string_view text = task.value;
  const std::size_t last = text.rfind('.');
  if (last == std::string_view::npos || last == 0) {
    return std::nullopt;
  }
  const std::size_t middle = text.rfind('.', last - 1);
  if (middle == std::string_view::npos) {
    return std::nullopt;
  }
  const auto attempt = ParseNumber(text.substr(middle + 1, last - middle - 1));
  const auto index = ParseNumber(text.substr(last + 1));
  if (!attempt || !index) {
    return std::nullopt;
  }
  return task_parts{job_id{std::string(text.substr(0, middle))}, *attempt,
                    *index};
}

job_terms MakeTerms(const job_class& job_class, const shape& shape) {
  job_terms terms;
  terms.is_idempotent = job_class.is_idempotent;
  terms.can_checkpoint = job_class.can_checkpoint;
  terms.checkpoint_grace = job_class.checkpoint_grace;
  terms.max_restarts = job_class.max_restarts;
  terms.on_loss = job_class.on_loss;
  terms.tasks = shape.workers;
  terms.need = shape.per_worker;
  return terms;
}

bool RequestCancel(job_row& row) {
  if (row.state == job_state::kEnded || row.cancel_requested) {
    return false;
  }
  row.cancel_requested = true;
  if (row.state == job_state::kWaiting) {
    row.state = job_state::kEnded;
    row.outcome = job_outcome::kCancelled;
    row.reason = row.was_released ? "cancelled after an earlier attempt had run"
                                  : "cancelled before it ran";
  }
  return true;
}

}  // namespace sassafras
