#include "sassafras/net/json_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace sassafras {
namespace {

using nlohmann::json;

std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Runs `read` on the parsed text. Turns exceptions of the library into errors.
template <class T, class Read>
result<T> Decode(std::string_view text, const Read& read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

json ToJson(const resources& amounts) {
  return {{"accelerators", amounts.accelerators},
          {"cores", amounts.cores},
          {"memory_mb", amounts.memory_mb}};
}

resources ToResources(const json& document) {
  resources amounts;
  amounts.accelerators = document.value("accelerators", 0);
  amounts.cores = document.value("cores", 0);
  amounts.memory_mb = document.value("memory_mb", std::int64_t{0});
  return amounts;
}

std::optional<task_state> ToTaskState(std::string_view name) {
  constexpr std::array<task_state, 5> kStates = {
      task_state::kHeld, task_state::kRunning, task_state::kEnded,
      task_state::kFailed, task_state::kStopped};
  for (const task_state state : kStates) {
    if (GetName(state) == name) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeTransaction(const table_transaction& transaction) {
  json writes = json::array();
  for (const table_write& write : transaction) {
    writes.push_back({{"key", write.key},
                      {"expected_version", write.expected_version},
                      {"value", write.value},
                      {"erase", write.should_erase}});
  }
  return Dump({{"writes", std::move(writes)}});
}

result<table_transaction> DecodeTransaction(std::string_view text) {
  return Decode<table_transaction>(text, [](const json& document) {
    table_transaction transaction;
    for (const json& item : document.at("writes")) {
      table_write write;
      write.key = item.at("key");
      write.expected_version = item.at("expected_version");
      write.value = item.value("value", std::string());
      write.should_erase = item.value("erase", false);
      transaction.push_back(std::move(write));
    }
    return transaction;
  });
}

std::string EncodeRows(const std::vector<table_row>& rows) {
  json list = json::array();
  for (const table_row& row : rows) {
    list.push_back(
        {{"key", row.key}, {"value", row.value}, {"version", row.version}});
  }
  return Dump({{"rows", std::move(list)}});
}

result<std::vector<table_row>> DecodeRows(std::string_view text) {
  return Decode<std::vector<table_row>>(text, [](const json& document) {
    std::vector<table_row> rows;
    for (const json& item : document.at("rows")) {
      rows.push_back({item.at("key"), item.value("value", std::string()),
                      item.at("version")});
    }
    return rows;
  });
}

std::string EncodeVmList(const std::vector<vm_entry>& entries) {
  json list = json::array();
  for (const vm_entry& entry : entries) {
    list.push_back({{"name", entry.name},
                    {"address", entry.address},
                    {"leaving", entry.is_leaving}});
  }
  return Dump({{"vms", std::move(list)}});
}

result<std::vector<vm_entry>> DecodeVmList(std::string_view text) {
  return Decode<std::vector<vm_entry>>(text, [](const json& document) {
    std::vector<vm_entry> entries;
    for (const json& item : document.at("vms")) {
      entries.push_back({item.at("name"), item.value("address", std::string()),
                         item.value("leaving", false)});
    }
    return entries;
  });
}

std::string EncodeTaskStart(const task_start& start) {
  return Dump({{"task", start.task.value},
               {"job", start.job.value},
               {"attempt", start.attempt},
               {"need", ToJson(start.need)},
               {"lease_us", start.lease.count()},
               {"throttle_percent", start.throttle_percent},
               {"payload", start.payload},
               {"checkpoint", start.checkpoint}});
}

result<task_start> DecodeTaskStart(std::string_view text) {
  return Decode<task_start>(text, [](const json& document) {
    task_start start;
    start.task.value = document.at("task");
    start.job.value = document.at("job");
    start.attempt = document.value("attempt", 0);
    start.need = ToResources(document.at("need"));
    start.lease = duration(document.at("lease_us").get<std::int64_t>());
    start.throttle_percent = document.value("throttle_percent", 0);
    start.payload = document.value("payload", std::string());
    start.checkpoint = document.value("checkpoint", std::string());
    return start;
  });
}

std::string EncodeReports(const std::vector<task_report>& reports) {
  json list = json::array();
  for (const task_report& report : reports) {
    list.push_back({{"task", report.task.value},
                    {"job", report.job.value},
                    {"attempt", report.attempt},
                    {"state", GetName(report.state)},
                    {"used", ToJson(report.used)},
                    {"progress", report.progress},
                    {"checkpoint", report.checkpoint}});
  }
  return Dump({{"tasks", std::move(list)}});
}

result<std::vector<task_report>> DecodeReports(std::string_view text) {
  return Decode<std::vector<task_report>>(
      text, [](const json& document) -> result<std::vector<task_report>> {
        std::vector<task_report> reports;
        for (const json& item : document.at("tasks")) {
          task_report report;
          report.task.value = item.at("task");
          report.job.value = item.value("job", std::string());
          report.attempt = item.value("attempt", 0);
          const auto state = ToTaskState(item.at("state").get<std::string>());
          if (!state) {
            return Fail(error_kind::kMalformed, "unknown task state");
          }
          report.state = *state;
          report.used = ToResources(item.value("used", json::object()));
          report.progress = item.value("progress", 0.0);
          report.checkpoint = item.value("checkpoint", std::string());
          reports.push_back(std::move(report));
        }
        return reports;
      });
}

}  // namespace sassafras
