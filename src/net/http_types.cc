#include "sassafras/net/http_types.h"

#include <nlohmann/json.hpp>

namespace sassafras {

http_response ErrorResponse(const error& failure) {
  return ErrorResponse(failure, GetErrorInfo(failure.kind).outcome);
}

http_response ErrorResponse(const error& failure, run_outcome outcome) {
  const error_info& info = GetErrorInfo(failure.kind);
  http_response response;
  response.status = info.http_status;
  response.headers["x-sassafras-outcome"] = std::string(GetName(outcome));
  const nlohmann::json body = {{"error", info.name},
                               {"outcome", GetName(outcome)},
                               {"retryable", info.retryable},
                               {"text", info.text},
                               {"detail", failure.detail}};
  // The detail may quote bytes from a caller that are not valid UTF-8.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace sassafras
