#include "sassafras/job/submission.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "sassafras/config/yaml_reader.h"
#include "sassafras/core/digest.h"

namespace sassafras::job {
namespace {

using nlohmann::json;

constexpr int kMaxAttempts = 5;

std::string TextOf(const json& document, const char* name) {
  const auto it = document.find(name);
  return it != document.end() && it->is_string() ? it->get<std::string>()
                                                 : std::string();
}

}  // namespace

result<job_row> MakeJobRow(const config_set& objects,
                           const team_id& team,
                           std::string_view key,
                           const std::string& body,
                           std::int64_t wall_ms) {
  if (key.empty() || key.size() > kMaxKeyLength) {
    return Fail(error_kind::kKeyMissing, "Idempotency-Key");
  }
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return Fail(error_kind::kMalformed, "the body is no JSON object");
  }
  job_row row;
  row.id = MakeJobId(team, key);
  row.team = team;
  row.job_class.value = TextOf(document, "class");
  row.shape.value = TextOf(document, "shape");
  row.payload = TextOf(document, "payload");
  row.body_sha256 = Sha256Hex(body);
  row.submitted_ms = wall_ms;
  row.reason = "it was accepted and not looked at yet";
  const auto run = ParseDuration(TextOf(document, "run"));
  if (!run || run->count() <= 0) {
    return Fail(error_kind::kMalformed,
                R"("run" must be a duration such as "20s")");
  }
  row.declared_run = *run;
  const auto found_class = objects.classes.find(row.job_class);
  if (found_class == objects.classes.end() ||
      found_class->second.kind != class_kind::kJob) {
    return Fail(error_kind::kNotFound,
                "no class of jobs '" + row.job_class.value + "'");
  }
  const auto found_shape = objects.shapes.find(row.shape);
  if (found_shape == objects.shapes.end()) {
    return Fail(error_kind::kNotFound, "no shape '" + row.shape.value + "'");
  }
  row.terms = MakeTerms(found_class->second, found_shape->second);
  return row;
}

bool IsVisible(const job_row& row, const team_id& team) {
  return team.value.empty() || row.team == team;
}

table_transaction job_submission::Transaction() const {
  return {{JobKey(row_.id), 0, EncodeJobRow(row_)},
          {JobMarkerKey(row_.id), 0, "{}"}};
}

api_step job_submission::FailWith(error_kind kind, std::string detail) {
  // A write that may have taken effect is never reported as not run.
  if (may_have_written_ && GetErrorInfo(kind).outcome == run_outcome::kNotRun) {
    kind = error_kind::kStoreUnknown;
  }
  failure_ = Fail(kind, std::move(detail));
  return api_step::kFail;
}

api_step job_submission::OnCommit(const commit_answer& answer) {
  ++attempts_;
  if (answer.state == answer_state::kDone) {
    return api_step::kDone;
  }
  if (answer.state == answer_state::kUnknown) {
    may_have_written_ = true;
    return api_step::kRead;
  }
  if (answer.reason == error_kind::kConflict) {
    for (const table_row& row : answer.rows) {
      if (row.key == JobKey(row_.id) && row.version != 0) {
        return ProcessRecordedRow(row);
      }
    }
    return api_step::kRead;
  }
  return FailWith(answer.reason, "the submission was not recorded");
}

api_step job_submission::OnRead(const read_answer& answer) {
  if (answer.state != answer_state::kDone) {
    return FailWith(error_kind::kStoreUnavailable, "the row cannot be read");
  }
  if (answer.rows.size() == 1 && answer.rows.front().version != 0) {
    return ProcessRecordedRow(answer.rows.front());
  }
  if (attempts_ >= kMaxAttempts) {
    return FailWith(error_kind::kStoreUnavailable,
                    "the submission was not recorded");
  }
  return api_step::kCommit;
}

api_step job_submission::ProcessRecordedRow(const table_row& row) {
  auto decoded = DecodeJobRow(row.key, row.value);
  if (!decoded) {
    return FailWith(error_kind::kInternal, "the recorded row is malformed");
  }
  if (decoded.value().body_sha256 != row_.body_sha256) {
    may_have_written_ = false;
    return FailWith(error_kind::kKeyReused, row_.id.value);
  }
  row_ = std::move(decoded.value());
  was_already_recorded_ = !may_have_written_;
  return api_step::kDone;
}

api_step job_cancellation::FailWith(error_kind kind) {
  if (may_have_written_ && kind == error_kind::kStoreUnavailable) {
    kind = error_kind::kStoreUnknown;
  }
  failure_ = Fail(kind, job_.value);
  return api_step::kFail;
}

api_step job_cancellation::OnRead(const read_answer& answer) {
  if (answer.state != answer_state::kDone || answer.rows.size() != 2) {
    return FailWith(error_kind::kStoreUnavailable);
  }
  const table_row& recorded = answer.rows.front();
  const table_row& marker = answer.rows.back();
  if (recorded.version == 0) {
    return FailWith(error_kind::kNotFound);
  }
  auto decoded = DecodeJobRow(recorded.key, recorded.value);
  if (!decoded) {
    return FailWith(error_kind::kInternal);
  }
  if (!IsVisible(decoded.value(), team_)) {
    return FailWith(error_kind::kNotFound);
  }
  row_ = std::move(decoded.value());
  if (!RequestCancel(row_)) {
    return api_step::kDone;
  }
  transaction_ = {{recorded.key, recorded.version, EncodeJobRow(row_)},
                  {marker.key, marker.version, "{}"}};
  return api_step::kCommit;
}

api_step job_cancellation::OnCommit(const commit_answer& answer) {
  ++attempts_;
  if (answer.state == answer_state::kDone) {
    return api_step::kDone;
  }
  if (answer.state == answer_state::kUnknown) {
    may_have_written_ = true;
  }
  const bool may_retry = answer.state == answer_state::kUnknown ||
                         answer.reason == error_kind::kConflict;
  if (may_retry && attempts_ < kMaxAttempts) {
    return api_step::kRead;
  }
  return FailWith(answer.reason);
}

}  // namespace sassafras::job
