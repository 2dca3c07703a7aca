#ifndef SASSAFRAS_REVIEW_STANDIN_3_CALLERS_H_
#define SASSAFRAS_REVIEW_STANDIN_3_CALLERS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_client.h"

namespace sassafras::review {

/// What a client knows of one job.
struct job_view {
  std::vector<std::string> answers;  ///< To its submissions, in order.
  bool is_accepted = false;
  instant accepted_at;
  std::string last_state;  ///< In the last answer to a question.
  int last_status = 0;     ///< Of the last question; 0: no answer in time.
};

/// Clients of the system. Each call goes to one of the entry processes in
/// `fronts`; a submission without a final answer is repeated at another one.
class callers {
 public:
  callers(boost::asio::io_context& context, std::string host, std::string key);

  std::vector<std::string> fronts;

  /// Submits a job in the queue with `prefix`.
  void Submit(const std::string& prefix,
              const std::string& id,
              const nlohmann::json& body);
  void Ask(const std::string& prefix, const std::string& id);

  std::map<std::string, job_view> jobs;
  int open_calls = 0;

  static std::string NewId(std::uint64_t number);

 private:
  void Send(const std::string& method,
            const std::string& path,
            const std::string& body,
            std::function<void(const http_answer&)> done);
  void TrySubmit(const std::string& path,
                 const std::string& id,
                 const std::string& body,
                 int tries_left);

  boost::asio::io_context& context_;
  counter_table counters_;
  std::shared_ptr<http_client> client_;
  std::string host_;
  std::string key_;
  std::size_t next_front_ = 0;
};

}  // namespace sassafras::review

#endif  // SASSAFRAS_REVIEW_STANDIN_3_CALLERS_H_
