#include "sassafras/net/http_adapters.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "sassafras/net/json_codec.h"

namespace sassafras {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;

// Calls the platform's service. Fails over to the next address only if no byte
// of the request was sent, since a lost call may have taken effect.
class platform_caller : public std::enable_shared_from_this<platform_caller> {
 public:
  platform_caller(std::shared_ptr<http_client> client, platform_options options)
      : client_(std::move(client)), options_(std::move(options)) {}

  void Call(const std::string& method,
            const std::string& path,
            std::string body,
            std::function<void(http_answer)> done) {
    http_request request;
    request.method = method;
    request.path = path;
    request.body = std::move(body);
    TryAddress(0, std::move(request), std::move(done));
  }

 private:
  void TryAddress(std::size_t index,
                  http_request request,
                  std::function<void(http_answer)> done) {
    if (index >= options_.addresses.size()) {
      done({answer_state::kNotDone, {}});
      return;
    }
    http_request copy = request;
    client_->Call(
        options_.addresses[index], std::move(copy), connection_choice::kPooled,
        options_.timeout,
        [self = shared_from_this(), index, request = std::move(request),
         done = std::move(done)](http_answer answer) mutable {
          if (answer.state == answer_state::kNotDone) {
            self->TryAddress(index + 1, std::move(request), std::move(done));
            return;
          }
          done(std::move(answer));
        });
  }

  std::shared_ptr<http_client> client_;
  platform_options options_;
};

read_answer ToReadAnswer(const http_answer& answer) {
  read_answer read;
  if (answer.state != answer_state::kDone || answer.response.status != kOk) {
    return read;
  }
  auto rows = DecodeRows(answer.response.body);
  if (rows) {
    read.state = answer_state::kDone;
    read.rows = std::move(rows.value());
  }
  return read;
}

commit_answer ToCommitAnswer(const http_answer& answer) {
  commit_answer commit;
  if (answer.state == answer_state::kNotDone) {
    return {answer_state::kNotDone, error_kind::kStoreUnavailable, {}};
  }
  if (answer.state == answer_state::kUnknown) {
    return commit;
  }
  const int status = answer.response.status;
  if (status == kServiceUnavailable) {
    return {answer_state::kNotDone, error_kind::kStoreUnavailable, {}};
  }
  if (status != kOk && status != kConflict) {
    return commit;
  }
  auto rows = DecodeRows(answer.response.body);
  if (!rows) {
    return commit;
  }
  commit.rows = std::move(rows.value());
  commit.state = status == kOk ? answer_state::kDone : answer_state::kNotDone;
  commit.reason = error_kind::kConflict;
  return commit;
}

// Converts a worker's HTTP answer about a list of tasks.
report_answer ToReportAnswer(const http_answer& answer) {
  report_answer report;
  report.state = answer.state;
  if (answer.state != answer_state::kDone) {
    return report;
  }
  if (answer.response.status != kOk) {
    report.state = answer.response.status < 500 ? answer_state::kNotDone
                                                : answer_state::kUnknown;
    return report;
  }
  auto tasks = DecodeReports(answer.response.body);
  if (!tasks) {
    report.state = answer_state::kUnknown;
    return report;
  }
  report.tasks = std::move(tasks.value());
  return report;
}

task_answer ToTaskAnswer(const http_answer& answer) {
  report_answer report = ToReportAnswer(answer);
  if (report.state != answer_state::kDone) {
    return {report.state, {}};
  }
  if (report.tasks.size() != 1) {
    return {answer_state::kUnknown, {}};
  }
  return {answer_state::kDone, std::move(report.tasks.front())};
}

// Calls the task interface of one worker.
struct worker_caller {
  std::shared_ptr<http_client> client;
  duration timeout;

  void Call(const std::string& address,
            const std::string& method,
            const std::string& path,
            std::string body,
            std::function<void(http_answer)> done) const {
    http_request request;
    request.method = method;
    request.path = path;
    request.body = std::move(body);
    client->Call(address, std::move(request), connection_choice::kPooled,
                 timeout, std::move(done));
  }

  void CallTask(const std::string& address,
                const std::string& path,
                const json& body,
                std::function<void(task_answer)> done) const {
    Call(address, "POST", path, body.dump(),
         [done = std::move(done)](const http_answer& answer) {
           done(ToTaskAnswer(answer));
         });
  }
};

}  // namespace

table_port MakeHttpTablePort(std::shared_ptr<http_client> client,
                             platform_options options) {
  const auto caller =
      std::make_shared<platform_caller>(std::move(client), std::move(options));
  table_port port;
  port.commit = [caller](const table_transaction& transaction,
                         std::function<void(commit_answer)> done) {
    caller->Call("POST", "/table/commit", EncodeTransaction(transaction),
                 [done = std::move(done)](const http_answer& answer) {
                   done(ToCommitAnswer(answer));
                 });
  };
  port.read = [caller](std::vector<std::string> keys,
                       std::function<void(read_answer)> done) {
    caller->Call("POST", "/table/read", json{{"keys", std::move(keys)}}.dump(),
                 [done = std::move(done)](const http_answer& answer) {
                   done(ToReadAnswer(answer));
                 });
  };
  port.scan = [caller](std::string prefix, std::string after, std::size_t limit,
                       std::function<void(read_answer)> done) {
    const json body = {{"prefix", std::move(prefix)},
                       {"after", std::move(after)},
                       {"limit", limit}};
    caller->Call("POST", "/table/scan", body.dump(),
                 [done = std::move(done)](const http_answer& answer) {
                   done(ToReadAnswer(answer));
                 });
  };
  return port;
}

object_port MakeHttpObjectPort(std::shared_ptr<http_client> client,
                               platform_options options) {
  const auto caller =
      std::make_shared<platform_caller>(std::move(client), std::move(options));
  object_port port;
  port.put = [caller](const std::string& name, std::string value,
                      std::function<void(answer_state)> done) {
    caller->Call("PUT", "/object/" + name, std::move(value),
                 [done = std::move(done)](const http_answer& answer) {
                   if (answer.state != answer_state::kDone) {
                     done(answer.state);
                     return;
                   }
                   done(answer.response.status == kOk ? answer_state::kDone
                                                      : answer_state::kUnknown);
                 });
  };
  port.get = [caller](const std::string& name,
                      std::function<void(object_answer)> done) {
    caller->Call("GET", "/object/" + name, "",
                 [done = std::move(done)](http_answer answer) {
                   object_answer found;
                   const int status = answer.response.status;
                   if (answer.state == answer_state::kDone &&
                       (status == kOk || status == kNotFound)) {
                     found.state = answer_state::kDone;
                     found.exists = status == kOk;
                     found.value = std::move(answer.response.body);
                   }
                   done(std::move(found));
                 });
  };
  return port;
}

vm_list_port MakeHttpVmListPort(std::shared_ptr<http_client> client,
                                platform_options options) {
  const auto caller =
      std::make_shared<platform_caller>(std::move(client), std::move(options));
  vm_list_port port;
  port.list = [caller](std::function<void(vm_list_answer)> done) {
    caller->Call("GET", "/vms", "",
                 [done = std::move(done)](const http_answer& answer) {
                   vm_list_answer list;
                   if (answer.state == answer_state::kDone &&
                       answer.response.status == kOk) {
                     auto entries = DecodeVmList(answer.response.body);
                     if (entries) {
                       list.state = answer_state::kDone;
                       list.entries = std::move(entries.value());
                     }
                   }
                   done(std::move(list));
                 });
  };
  return port;
}

worker_port MakeHttpWorkerPort(std::shared_ptr<http_client> client,
                               duration timeout) {
  const worker_caller caller{std::move(client), timeout};
  worker_port port;
  port.start = [caller](const std::string& address, const task_start& start,
                        std::function<void(task_answer)> done) {
    caller.Call(address, "POST", "/tasks/start", EncodeTaskStart(start),
                [done = std::move(done)](const http_answer& answer) {
                  done(ToTaskAnswer(answer));
                });
  };
  port.throttle = [caller](const std::string& address, const task_id& task,
                           int throttle_percent,
                           std::function<void(task_answer)> done) {
    caller.CallTask(
        address, "/tasks/throttle",
        {{"task", task.value}, {"throttle_percent", throttle_percent}},
        std::move(done));
  };
  port.renew = [caller](const std::string& address,
                        const std::vector<task_id>& tasks, duration lease,
                        std::function<void(report_answer)> done) {
    json names = json::array();
    for (const task_id& task : tasks) {
      names.push_back(task.value);
    }
    const json body = {{"tasks", std::move(names)},
                       {"lease_us", lease.count()}};
    caller.Call(address, "POST", "/tasks/renew", body.dump(),
                [done = std::move(done)](const http_answer& answer) {
                  done(ToReportAnswer(answer));
                });
  };
  port.checkpoint = [caller](const std::string& address, const task_id& task,
                             std::function<void(task_answer)> done) {
    caller.CallTask(address, "/tasks/checkpoint", {{"task", task.value}},
                    std::move(done));
  };
  port.stop = [caller](const std::string& address, const task_id& task,
                       std::function<void(task_answer)> done) {
    caller.CallTask(address, "/tasks/stop", {{"task", task.value}},
                    std::move(done));
  };
  port.report = [caller](const std::string& address,
                         std::function<void(report_answer)> done) {
    caller.Call(address, "GET", "/tasks", "",
                [done = std::move(done)](const http_answer& answer) {
                  done(ToReportAnswer(answer));
                });
  };
  return port;
}

minion_port MakeHttpMinionPort(std::shared_ptr<http_client> client) {
  minion_port port;
  port.send = [client](const std::string& address, minion_request request,
                       std::function<void(minion_answer)> done) {
    http_request message;
    message.method = "POST";
    message.path = std::move(request.path);
    if (!request.key.empty()) {
      message.headers["idempotency-key"] = std::move(request.key);
    }
    if (request.body) {
      message.body = *request.body;
    }
    return client->Call(address, std::move(message), request.connection,
                        request.timeout,
                        [done = std::move(done)](http_answer answer) {
                          minion_answer result;
                          result.state = answer.state;
                          result.status = answer.response.status;
                          result.is_refused_as_leaving =
                              answer.state == answer_state::kDone &&
                              answer.response.headers.count("x-leaving") > 0;
                          result.body = std::move(answer.response.body);
                          done(std::move(result));
                        });
  };
  port.trim = [client](const std::string& address, int keep) {
    client->Trim(address, keep);
  };
  return port;
}

}  // namespace sassafras
