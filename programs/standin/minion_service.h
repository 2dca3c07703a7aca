#ifndef SASSAFRAS_PROGRAMS_STANDIN_MINION_SERVICE_H_
#define SASSAFRAS_PROGRAMS_STANDIN_MINION_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

#include "programs/standin/fault_switch.h"
#include "sassafras/net/http_server.h"

namespace sassafras {

/// One stand-in minion. The body of a request is JSON; "work_ms" is the time
/// that it takes. The answer repeats the body, so that a caller can tell it
/// from another's.
class minion_service {
 public:
  explicit minion_service(boost::asio::io_context& context)
      : context_(context) {}

  void Handle(http_exchange exchange, const fault_switch& faults);

  /// Times that work was begun, by idempotency key.
  const std::map<std::string, int>& Executions() const { return executions_; }

  /// Greatest number of requests in work at once.
  int MostInWork() const { return most_in_work_; }

 private:
  boost::asio::io_context& context_;
  std::map<std::string, int> executions_;
  int in_work_ = 0;
  int most_in_work_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_STANDIN_MINION_SERVICE_H_
