#include "review/standin-3/store.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "platform/base64.h"
#include "review/standin-3/lab.h"
#include "sassafras/net/call_after.h"

namespace sassafras::review {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kPreconditionFailed = 412;
constexpr int kTooLarge = 413;
constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kMaxAnswerBytes = 1 << 20;
constexpr duration kAnswerTime = std::chrono::milliseconds(4);
constexpr duration kFeedInterval = std::chrono::milliseconds(10);

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      plain.push_back(text[i]);
    }
  }
  return plain;
}

std::map<std::string, std::string> ParseQuery(const std::string& path) {
  std::map<std::string, std::string> parameters;
  std::size_t begin = path.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = path.find('&', begin + 1);
    const std::string item = path.substr(
        begin + 1, end == std::string::npos ? end : end - begin - 1);
    const std::size_t equals = item.find('=');
    if (equals != std::string::npos) {
      parameters[item.substr(0, equals)] = Unescape(item.substr(equals + 1));
    }
    begin = end;
  }
  return parameters;
}

std::string ValueOf(const std::map<std::string, std::string>& parameters,
                    const std::string& name) {
  const auto it = parameters.find(name);
  return it == parameters.end() ? std::string() : it->second;
}

}  // namespace

bool store::Start(const std::string& address) {
  http_server_options options;
  options.address = address;
  options.max_body_bytes = 64 << 20;
  options.receive_buffer_bytes = 0;
  auto server = http_server::Make(
      context_, options, counters_,
      [this](const http_exchange& exchange) { Serve(exchange); });
  if (!server) {
    return false;
  }
  server_ = server.value();
  return true;
}

void store::Put(const std::string& table,
                const std::string& key,
                const json& value) {
  ++version_;
  Write({table, "", key},
        {platform::EncodeBase64(value.dump()), version_, false});
}

std::string store::Value(const std::string& table,
                         const std::string& key) const {
  const auto it = rows_.find({table, "", key});
  if (it == rows_.end()) {
    return {};
  }
  return platform::DecodeBase64(it->second.value).value_or("");
}

void store::Write(const row_key& key, row written) {
  history_.emplace_back(key, written);
  rows_[key] = std::move(written);
}

void store::Serve(const http_exchange& exchange) {
  if (exchange.request.path.starts_with("/rows-feed")) {
    const query parameters = ParseQuery(exchange.request.path);
    const auto wait = std::chrono::milliseconds(
        std::stoll("0" + ValueOf(parameters, "waitMs")));
    ServeFeed(exchange, parameters, Now() + wait);
    return;
  }
  CallAfter(context_, kAnswerTime,
            [this, exchange] { exchange.reply(HandleCall(exchange.request)); });
}

http_response store::HandleCall(const http_request& request) {
  try {
    if (request.path == "/rows-tx") {
      return Transact(request.body);
    }
    if (request.path.starts_with("/rows-get")) {
      return ReadRows(ParseQuery(request.path));
    }
    if (request.path.starts_with("/rows-parts")) {
      return ReadParts(ParseQuery(request.path));
    }
  } catch (const json::exception& failure) {
    return {kBadRequest, {}, "text/plain", failure.what()};
  }
  return {kBadRequest, {}, "text/plain", "no such call"};
}

http_response store::Transact(const std::string& body) {
  const auto refuse = [this](const std::string& what) {
    if (on_refusal) {
      on_refusal(what);
    }
    return http_response{kTooLarge, {}, "text/plain", what};
  };
  if (body.size() > kMaxCallBytes) {
    return refuse("a call of " + std::to_string(body.size()) + " bytes");
  }
  const json document = json::parse(body);
  const json puts = document.value("puts", json::array());
  const json removed = document.value("remove", json::array());
  const json conditions = document.value("precondition", json::array());
  if (puts.size() + removed.size() + conditions.size() > kMaxEntries) {
    return refuse("a call of too many entries");
  }
  const auto key_of = [](const json& item) {
    return row_key{item.at("table"), item.value("part", ""), item.at("key")};
  };
  std::set<std::string> parts;
  for (const json* list : {&puts, &removed, &conditions}) {
    for (const json& item : *list) {
      parts.insert(item.value("part", ""));
    }
  }
  if (parts.size() > 1 && !document.value("across", false)) {
    return {kBadRequest, {}, "text/plain", "several parts"};
  }
  for (const json* list : {&puts, &removed}) {
    for (const json& item : *list) {
      const std::string table = item.at("table");
      if (table == "op" || table == "servers") {
        return {kForbidden, {}, "text/plain", table};
      }
    }
  }
  for (const json& item : puts) {
    const auto value =
        platform::DecodeBase64(item.at("value").get<std::string>());
    if (!value) {
      return {kBadRequest, {}, "text/plain", "no base64"};
    }
    if (value->size() > kMaxRowBytes) {
      return refuse("a row of " + std::to_string(value->size()) + " bytes");
    }
  }
  bool is_met = true;
  json current = json::array();
  for (const json& item : conditions) {
    const auto it = rows_.find(key_of(item));
    const row found = it == rows_.end() ? row{} : it->second;
    is_met = is_met && found.version == item.at("ver").get<std::uint64_t>();
    if (it != rows_.end()) {
      current.push_back(ToJson(it->first, found));
    }
  }
  if (!is_met) {
    return MakeAnswer(kPreconditionFailed, std::move(current));
  }
  ++version_;
  for (const json& item : puts) {
    Write(key_of(item), {item.at("value"), version_, false});
  }
  for (const json& item : removed) {
    const row_key key = key_of(item);
    if (rows_.erase(key) > 0) {
      history_.emplace_back(key, row{"", version_, true});
    }
  }
  return MakeAnswer(kOk, json::array());
}

http_response store::ReadRows(const query& parameters) const {
  const std::string table = ValueOf(parameters, "table");
  const std::string part = ValueOf(parameters, "part");
  const std::string to = ValueOf(parameters, "to");
  const std::string limit_text = ValueOf(parameters, "limit");
  const std::size_t limit =
      limit_text.empty()
          ? kMaxRows
          : std::min<std::size_t>(std::stoul(limit_text), kMaxRows);
  json found = json::array();
  std::size_t bytes = 0;
  for (auto it = rows_.lower_bound({table, part, ValueOf(parameters, "from")});
       it != rows_.end() && std::get<0>(it->first) == table &&
       std::get<1>(it->first) == part &&
       (to.empty() || std::get<2>(it->first) < to);
       ++it) {
    bytes += it->second.value.size();
    if (found.size() == limit || (!found.empty() && bytes > kMaxAnswerBytes)) {
      return MakeAnswer(kOk, std::move(found), true);
    }
    found.push_back(ToJson(it->first, it->second));
  }
  return MakeAnswer(kOk, std::move(found));
}

http_response store::ReadParts(const query& parameters) const {
  std::set<std::string> parts;
  for (const auto& [key, value] : rows_) {
    if (std::get<0>(key) == ValueOf(parameters, "table")) {
      parts.insert(std::get<1>(key));
    }
  }
  return {kOk,
          {},
          "application/json",
          json{{"parts", parts}, {"hasMore", false}}.dump()};
}

void store::ServeFeed(const http_exchange& exchange,
                      const query& parameters,
                      instant until) {
  const std::string table = ValueOf(parameters, "table");
  const std::uint64_t after = std::stoull("0" + ValueOf(parameters, "after"));
  json changed = json::array();
  for (auto it = std::partition_point(
           history_.begin(), history_.end(),
           [after](const auto& item) { return item.second.version <= after; });
       it != history_.end(); ++it) {
    if (std::get<0>(it->first) == table) {
      changed.push_back(ToJson(it->first, it->second));
    }
  }
  if (!changed.empty() || Now() >= until) {
    exchange.reply(MakeAnswer(kOk, std::move(changed)));
    return;
  }
  CallAfter(context_, kFeedInterval, [this, exchange, parameters, until] {
    ServeFeed(exchange, parameters, until);
  });
}

json store::ToJson(const row_key& key, const row& value) const {
  json document = {{"table", std::get<0>(key)},
                   {"part", std::get<1>(key)},
                   {"key", std::get<2>(key)},
                   {"ver", value.version}};
  if (value.is_deleted) {
    document["deleted"] = true;
  } else {
    document["value"] = value.value;
  }
  return document;
}

http_response store::MakeAnswer(int status, json rows, bool has_more) const {
  return {status,
          {},
          "application/json",
          json{{"ver", version_},
               {"nowMs", Now().time_since_epoch().count() / 1000},
               {"rows", std::move(rows)},
               {"hasMore", has_more}}
              .dump()};
}

}  // namespace sassafras::review
