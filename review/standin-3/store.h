#ifndef SASSAFRAS_REVIEW_STANDIN_3_STORE_H_
#define SASSAFRAS_REVIEW_STANDIN_3_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_server.h"

namespace sassafras::review {

/// The platform's metadata store in memory, by PROTOCOL.md, with the limits of
/// a call and of a row. A call over a limit is refused with 413 and does
/// nothing.
class store {
 public:
  explicit store(boost::asio::io_context& context) : context_(context) {}

  /// Listens on `address`. Returns false if that fails.
  bool Start(const std::string& address);

  /// Writes a row of an empty part for the operator or a minion.
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& value);

  /// Returns the decoded value of a row; empty if there is none.
  std::string Value(const std::string& table, const std::string& key) const;

  /// Called with each refusal of a call over a limit.
  std::function<void(const std::string& what)> on_refusal;

  static constexpr std::size_t kMaxRowBytes = 65'536;
  static constexpr std::size_t kMaxCallBytes = 1 << 20;
  static constexpr std::size_t kMaxEntries = 100;

 private:
  using row_key = std::tuple<std::string, std::string, std::string>;
  struct row {
    std::string value;  // In base64.
    std::uint64_t version = 0;
    bool is_deleted = false;
  };
  using query = std::map<std::string, std::string>;

  void Serve(const http_exchange& exchange);
  http_response HandleCall(const http_request& request);
  http_response Transact(const std::string& body);
  http_response ReadRows(const query& parameters) const;
  http_response ReadParts(const query& parameters) const;
  void ServeFeed(const http_exchange& exchange,
                 const query& parameters,
                 instant until);
  void Write(const row_key& key, row written);
  nlohmann::json ToJson(const row_key& key, const row& value) const;
  http_response MakeAnswer(int status,
                           nlohmann::json rows,
                           bool has_more = false) const;

  boost::asio::io_context& context_;
  counter_table counters_;
  std::shared_ptr<http_server> server_;
  std::map<row_key, row> rows_;
  std::deque<std::pair<row_key, row>> history_;
  std::uint64_t version_ = 0;
};

}  // namespace sassafras::review

#endif  // SASSAFRAS_REVIEW_STANDIN_3_STORE_H_
