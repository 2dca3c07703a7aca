#include "programs/standin/platform_store.h"

#include <nlohmann/json.hpp>

#include "sassafras/net/json_codec.h"

namespace sassafras {
namespace {

constexpr duration kHistoryTime = std::chrono::seconds(30);
constexpr std::string_view kObjectPrefix = "/object/";

std::uint64_t VersionOf(const std::map<std::string, table_row>& rows,
                        const std::string& key) {
  const auto it = rows.find(key);
  return it == rows.end() ? 0 : it->second.version;
}

}  // namespace

http_response platform_store::Handle(const http_request& request,
                                     instant now,
                                     duration read_lag) {
  if (request.path == "/table/commit") {
    return Commit(request, now);
  }
  if (request.path == "/table/read") {
    return Read(request, now - read_lag);
  }
  if (request.path == "/table/scan") {
    return Scan(request, now - read_lag);
  }
  if (request.path.rfind(kObjectPrefix, 0) == 0) {
    return Object(request);
  }
  return ErrorResponse(Fail(error_kind::kNotFound, request.path));
}

void platform_store::CountOperation(const std::string& kind,
                                    const std::string& key) {
  ++operations_[kind + ' ' + key.substr(0, key.find('/'))];
}

http_response platform_store::Commit(const http_request& request, instant now) {
  auto transaction = DecodeTransaction(request.body);
  if (!transaction) {
    return ErrorResponse(transaction.error());
  }
  std::vector<table_row> conflicts;
  for (const table_write& write : transaction.value()) {
    CountOperation("write", write.key);
    if (VersionOf(rows_, write.key) != write.expected_version) {
      conflicts.push_back(RowAt(write.key, now));
    }
  }
  if (!conflicts.empty()) {
    return {409, {}, "application/json", EncodeRows(conflicts)};
  }
  ++revision_;
  std::vector<table_row> written;
  for (table_write& write : transaction.value()) {
    history_.push_back({now, RowAt(write.key, now)});
    if (write.should_erase) {
      rows_.erase(write.key);
      written.push_back({write.key, "", 0});
      continue;
    }
    rows_[write.key] = {write.key, std::move(write.value), revision_};
    written.push_back({write.key, "", revision_});
  }
  while (!history_.empty() && history_.front().until + kHistoryTime < now) {
    history_.pop_front();
  }
  return {200, {}, "application/json", EncodeRows(written)};
}

table_row platform_store::RowAt(const std::string& key, instant as_of) const {
  for (const old_row& old : history_) {
    if (old.until > as_of && old.row.key == key) {
      return old.row;
    }
  }
  const auto it = rows_.find(key);
  return it == rows_.end() ? table_row{key, "", 0} : it->second;
}

http_response platform_store::Read(const http_request& request, instant as_of) {
  const auto document = nlohmann::json::parse(request.body, nullptr, false);
  if (!document.is_object() || !document.contains("keys")) {
    return ErrorResponse(Fail(error_kind::kMalformed));
  }
  std::vector<table_row> found;
  for (const auto& key : document["keys"]) {
    CountOperation("read", key.get<std::string>());
    found.push_back(RowAt(key.get<std::string>(), as_of));
  }
  return {200, {}, "application/json", EncodeRows(found)};
}

http_response platform_store::Scan(const http_request& request, instant as_of) {
  const auto document = nlohmann::json::parse(request.body, nullptr, false);
  if (!document.is_object() || !document.contains("prefix")) {
    return ErrorResponse(Fail(error_kind::kMalformed));
  }
  const std::string prefix = document["prefix"];
  const std::string after = document.value("after", "");
  const std::size_t limit = document.value("limit", std::size_t{1000});
  std::vector<table_row> found;
  const std::string& first = after < prefix ? prefix : after;
  for (auto it = rows_.lower_bound(first);
       it != rows_.end() && it->first.rfind(prefix, 0) == 0 &&
       found.size() < limit;
       ++it) {
    if (it->first == after) {
      continue;
    }
    table_row row = RowAt(it->first, as_of);
    if (row.version != 0) {
      CountOperation("read", row.key);
      found.push_back(std::move(row));
    }
  }
  CountOperation("scan", prefix);
  return {200, {}, "application/json", EncodeRows(found)};
}

http_response platform_store::Object(const http_request& request) {
  const std::string name = request.path.substr(kObjectPrefix.size());
  if (request.method == "PUT") {
    CountOperation("put", name.substr(0, name.find('-')));
    objects_[name] = request.body;
    return {200, {}, "text/plain", ""};
  }
  CountOperation("get", name.substr(0, name.find('-')));
  const auto it = objects_.find(name);
  if (it == objects_.end()) {
    return ErrorResponse(Fail(error_kind::kNotFound, name));
  }
  return {200, {}, "application/octet-stream", it->second};
}

}  // namespace sassafras
