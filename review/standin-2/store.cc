#include <algorithm>
#include <chrono>

#include "platform/base64.h"
#include "review/standin-2/world.h"
#include "sassafras/net/call_after.h"

namespace sassafras::review {
namespace {

constexpr std::size_t kMaxCallBytes = 1 << 20;
constexpr std::size_t kMaxRowBytes = 65536;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxRows = 500;
constexpr duration kAnswerTime = std::chrono::milliseconds(4);
constexpr duration kFeedInterval = std::chrono::milliseconds(10);

std::map<std::string, std::string> ParseQuery(const std::string& path) {
  std::map<std::string, std::string> query;
  std::size_t begin = path.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = path.find('&', begin + 1);
    const std::string item = path.substr(
        begin + 1, end == std::string::npos ? end : end - begin - 1);
    const std::size_t equals = item.find('=');
    std::string value;
    for (std::size_t i = equals + 1; i < item.size(); ++i) {
      if (item[i] == '%' && i + 2 < item.size()) {
        value.push_back(
            static_cast<char>(std::stoi(item.substr(i + 1, 2), nullptr, 16)));
        i += 2;
      } else {
        value.push_back(item[i]);
      }
    }
    query[item.substr(0, equals)] = value;
    begin = end;
  }
  return query;
}

std::string Value(const std::map<std::string, std::string>& query,
                  const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

}  // namespace

json store::ToJson(const row& item) {
  json document = {{"table", item.table},
                   {"part", item.part},
                   {"key", item.key},
                   {"ver", item.version}};
  if (item.is_erased) {
    document["deleted"] = true;
  } else if (item.version != 0) {
    document["value"] = item.value;
  }
  return document;
}

http_response store::RowsAnswer(int status,
                                const json& rows,
                                bool has_more) const {
  return {status,
          {},
          "application/json",
          json{{"ver", version_},
               {"nowMs", NowMs()},
               {"rows", rows},
               {"hasMore", has_more}}
              .dump()};
}

void store::Apply(row changed) {
  const row_name name{changed.table, changed.part, changed.key};
  if (changed.is_erased) {
    rows_.erase(name);
  } else {
    rows_[name] = changed;
  }
  history_.push_back(std::move(changed));
}

void store::Put(const std::string& table,
                const std::string& key,
                const std::string& text) {
  Apply({table, "", key, platform::EncodeBase64(text), ++version_, false});
}

void store::Erase(const std::string& table, const std::string& key) {
  if (rows_.contains({table, "", key})) {
    Apply({table, "", key, "", ++version_, true});
  }
}

std::optional<std::string> store::Read(const std::string& table,
                                       const std::string& key) const {
  const auto it = rows_.find({table, "", key});
  return it == rows_.end() ? std::nullopt
                           : platform::DecodeBase64(it->second.value);
}

void store::Serve(http_exchange exchange) {
  const std::string path = exchange.request.path;
  if (path.starts_with("/rows-feed")) {
    const auto query = ParseQuery(path);
    const std::int64_t wait = std::stoll("0" + Value(query, "waitMs"));
    ServeFeed(std::move(exchange), query, NowMs() + wait);
    return;
  }
  CallAfter(context_, kAnswerTime, [this, exchange = std::move(exchange)] {
    http_response response{400, {}, "text/plain", "no such call"};
    try {
      if (exchange.request.path == "/rows-tx") {
        response = Transact(exchange.request.body);
      } else if (exchange.request.path.starts_with("/rows-get")) {
        response = Get(ParseQuery(exchange.request.path));
      }
    } catch (const json::exception& failure) {
      response.body = failure.what();
    }
    exchange.reply(std::move(response));
  });
}

http_response store::Transact(const std::string& body) {
  if (body.size() > kMaxCallBytes) {
    if (++rejected_too_large_ == 1) {
      record_.Write("store: 400 for a transaction of " +
                    std::to_string(body.size()) + " bytes (limit 1 MB)");
    }
    return {400, {}, "text/plain", "a call holds at most 1 MB"};
  }
  const json document = json::parse(body);
  const json& conditions = document.at("precondition");
  const json& puts = document.at("puts");
  const json& removed = document.at("remove");
  if (conditions.size() > kMaxEntries || puts.size() > kMaxEntries) {
    return {400, {}, "text/plain", "a call holds at most 100 entries"};
  }
  json current = json::array();
  bool is_satisfied = true;
  for (const json& condition : conditions) {
    const row_name name{condition.at("table"), condition.value("part", ""),
                        condition.at("key")};
    const auto it = rows_.find(name);
    const row found = it == rows_.end() ? row{std::get<0>(name),
                                              std::get<1>(name),
                                              std::get<2>(name),
                                              "",
                                              0,
                                              false}
                                        : it->second;
    is_satisfied = is_satisfied &&
                   found.version == condition.at("ver").get<std::uint64_t>();
    current.push_back(ToJson(found));
  }
  if (!is_satisfied) {
    return RowsAnswer(412, current, false);
  }
  for (const json& put : puts) {
    const auto value =
        platform::DecodeBase64(put.at("value").get<std::string>());
    if (!value || value->size() > kMaxRowBytes) {
      record_.Write("store: 400 for a row of " +
                    std::to_string(value ? value->size() : 0) + " bytes");
      return {400, {}, "text/plain", "value"};
    }
  }
  ++version_;
  for (const json& put : puts) {
    Apply({put.at("table"), put.value("part", ""), put.at("key"),
           put.at("value"), version_, false});
  }
  for (const json& item : removed) {
    Apply({item.at("table"), item.value("part", ""), item.at("key"), "",
           version_, true});
  }
  return RowsAnswer(200, json::array(), false);
}

http_response store::Get(
    const std::map<std::string, std::string>& query) const {
  const std::string table = Value(query, "table");
  const std::string part = Value(query, "part");
  const std::string to = Value(query, "to");
  const std::string limit_text = Value(query, "limit");
  const std::size_t limit =
      limit_text.empty() ? kMaxRows
                         : std::min<std::size_t>(kMaxRows, stoul(limit_text));
  json rows = json::array();
  std::size_t bytes = 0;
  bool has_more = false;
  for (auto it = rows_.lower_bound({table, part, Value(query, "from")});
       it != rows_.end(); ++it) {
    const row& item = it->second;
    if (item.table != table || item.part != part ||
        (!to.empty() && item.key >= to)) {
      break;
    }
    bytes += item.value.size();
    if (rows.size() == limit || (bytes > kMaxCallBytes && !rows.empty())) {
      has_more = true;
      break;
    }
    rows.push_back(ToJson(item));
  }
  return RowsAnswer(200, rows, has_more);
}

void store::ServeFeed(http_exchange exchange,
                      const std::map<std::string, std::string>& query,
                      std::int64_t until_ms) {
  const std::string table = Value(query, "table");
  const std::uint64_t after = std::stoull("0" + Value(query, "after"));
  json rows = json::array();
  const auto first = std::partition_point(
      history_.begin(), history_.end(),
      [after](const row& item) { return item.version <= after; });
  for (auto it = first; it != history_.end(); ++it) {
    if (it->table == table) {
      rows.push_back(ToJson(*it));
    }
  }
  if (!rows.empty() || NowMs() >= until_ms) {
    exchange.reply(RowsAnswer(200, rows, false));
    return;
  }
  CallAfter(context_, kFeedInterval,
            [this, exchange = std::move(exchange), query, until_ms] {
              ServeFeed(exchange, query, until_ms);
            });
}

}  // namespace sassafras::review
