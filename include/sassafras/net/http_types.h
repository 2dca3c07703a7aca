#ifndef SASSAFRAS_NET_HTTP_TYPES_H_
#define SASSAFRAS_NET_HTTP_TYPES_H_

#include <functional>
#include <map>
#include <string>

#include "sassafras/core/error.h"

namespace sassafras {

/// One HTTP request as the server received it, whole.
struct http_request {
  std::string method;  ///< "GET", "POST", ...
  std::string path;    ///< Path with query, e.g. "/v1/jobs?limit=10".
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// Returns the header `name` (lower case), empty if absent.
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
};

/// One HTTP answer.
struct http_response {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string content_type = "application/json";
  std::string body;
};

/// Answers one request, exactly once, from any thread.
using http_reply = std::function<void(http_response)>;

/// Formats an error of the closed list as an answer: status of its kind and a
/// JSON body with "error", "outcome", "retryable" and "detail".
http_response ErrorResponse(const error& failure);

/// Formats an error with another outcome than its kind's default.
http_response ErrorResponse(const error& failure, run_outcome outcome);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_HTTP_TYPES_H_
