#ifndef SASSAFRAS_NET_HTTP_TYPES_H_
#define SASSAFRAS_NET_HTTP_TYPES_H_

#include <functional>
#include <map>
#include <string>

#include "sassafras/core/error.h"

namespace sassafras {

/// One complete HTTP request.
struct http_request {
  std::string method;  ///< "GET", "POST", ...
  std::string path;    ///< Path with query, e.g. "/v1/jobs?limit=10".
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// Returns the value of header `name` (lower case), or "" if absent.
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

/// Formats `failure` as an answer: HTTP status of its error kind and a JSON
/// body with "error", "outcome", "retryable", "text" and "detail".
http_response ErrorResponse(const error& failure);

/// Formats `failure` with `outcome` in place of the default of its error kind.
http_response ErrorResponse(const error& failure, run_outcome outcome);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_HTTP_TYPES_H_
