#ifndef SASSAFRAS_TESTS_SERVICE_WORLD_H_
#define SASSAFRAS_TESTS_SERVICE_WORLD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "programs/entry/call_relay.h"
#include "programs/entry/caller_service.h"
#include "programs/entry/config_watch.h"
#include "programs/entry/store_watch.h"
#include "tests/fake_table.h"

namespace sassafras {

/// A call to the store that has not taken effect yet.
struct held_store_call {
  bool is_commit = false;
  std::function<void()> perform;  ///< Takes effect; call once.
  std::function<void()> answer;   ///< Answers as performed; call at most once.
  std::function<void()> lose_answer;  ///< Reports an unknown outcome instead.
};

/// The caller service of one entry process with a store in memory, which may be
/// shared with other processes. Paths are "/queue/ID"; the text of a
/// configuration is its version, the body of a submission its job's payload.
struct service_world {
  explicit service_world(
      std::shared_ptr<fake_table> store_rows = std::make_shared<fake_table>())
      : rows(std::move(store_rows)),
        table(*rows),
        store([this] { return now; }, counters),
        metrics_registry(counters) {
    adapter.table = table.Port();
    adapter.table.follow = [](const std::string&, std::uint64_t, duration,
                              const std::function<void(follow_answer)>&) {};
    adapter.config_table = "op/";
    adapter.config_key = "op/config";
    adapter.decode_evacuation = [](const table_row&) {
      return std::optional<sched::evacuation_row>();
    };
    adapter.decode_config =
        [](const std::string& text) -> result<sched::service_config> {
      sched::service_config config;
      config.version = std::stoull(text);
      sched::job_queue queue;
      queue.name = "queue";
      queue.prefix = "/queue/";
      queue.allows_anonymous_calls = true;
      config.queues.push_back(queue);
      return config;
    };
    adapter.decode_call = [](const http_request& request) {
      sched::caller_call call;
      call.verb = request.method == "POST"     ? sched::caller_verb::kSubmit
                  : request.method == "DELETE" ? sched::caller_verb::kCancel
                                               : sched::caller_verb::kQuery;
      call.path = request.path;
      call.body = request.body;
      return call;
    };
    adapter.decode_job =
        [](const std::string& body) -> result<sched::job_spec> {
      sched::job_spec spec;
      spec.payload = body;
      spec.steps.emplace_back();
      spec.steps.back().count = 1;
      return spec;
    };
    adapter.encode_answer = [](const sched::caller_answer& answer) {
      http_response response;
      response.status = answer.failure ? 503 : 200;
      if (answer.failure == error_kind::kStoreUnknown) {
        response.status = 504;
      }
      if (answer.failure == error_kind::kNoSuchJob) {
        response.status = 410;
      }
      return response;
    };
    port = store.Wrap(MakeTablePort());
    config_watch::hooks hooks;
    hooks.now = [this] { return now; };
    hooks.after = [](duration, const std::function<void()>&) {};
    hooks.on_config = [](const sched::service_config_ptr&) {};
    hooks.on_row = [](const table_row&) {};
    if (table.Read("op/config").version == 0) {
      table.Commit({{"op/config", 0, "18"}});
    }
    config = config_watch::Make(adapter, counters, hooks);
    config->Start();
    service = caller_service::Make(
        {adapter, port, store, *config, settings, counters, metrics_registry,
         [this] { return now; }, [this] { return may_read_old_calls; },
         [this](const http_request&, std::uint64_t min_version,
                const std::function<void(relay_answer)>& done) {
           relayed_with.push_back(min_version);
           done(peer_answer);
         }});
  }

  /// Calls the service and returns the status of the answer; 0: none so far.
  int Call(const std::string& method, const std::string& min_version = "") {
    int status = 0;
    BeginCall(method, min_version, "", [&](int answer) { status = answer; });
    return status;
  }

  /// Calls the service. `done` gets the status of the answer, possibly later.
  /// A call with `min_version` is one that another process has passed on.
  void BeginCall(const std::string& method,
                 const std::string& min_version,
                 const std::string& body,
                 const std::function<void(int)>& done) {
    http_exchange exchange;
    exchange.request.method = method;
    exchange.request.path = "/queue/5c0e7a21d94b36f8";
    exchange.request.body = body;
    exchange.reply = [this, done](const http_response& response) {
      answer_headers = response.headers;
      done(response.status);
    };
    if (min_version.empty()) {
      service->Handle(exchange);
    } else {
      exchange.request.headers[kRelayedHeader] = min_version;
      service->HandleRelayed(exchange);
    }
  }

  /// Makes the store turn this process away, and lets it notice.
  void LoseStore() {
    table.is_down = true;
    for (int i = 0; i < 2; ++i) {
      port.read({"x/y"}, [](const read_answer&) {});
    }
  }

  /// Lets this process notice that the store answers again.
  void RegainStore() {
    port.read({"x/y"}, [](const read_answer&) {});
  }

  instant now = instant(std::chrono::hours(1));
  counter_table counters;
  std::shared_ptr<fake_table> rows;
  fake_table& table;
  /// Answers commits instead of the table; empty: the table does.
  std::function<commit_answer(const table_transaction&)> intercept_commit;
  /// Gets each commit and read of the service; empty: they are performed and
  /// answered at once.
  std::function<void(held_store_call)> hold_call;
  store_watch store;
  metrics metrics_registry;
  entry_settings settings;
  platform_adapter adapter;
  table_port port;
  std::shared_ptr<config_watch> config;
  std::shared_ptr<caller_service> service;
  bool may_read_old_calls = false;
  relay_answer peer_answer;
  std::vector<std::uint64_t> relayed_with;
  std::map<std::string, std::string> answer_headers;

 private:
  table_port MakeTablePort() {
    table_port calls = table.Port();
    calls.commit = [this](const table_transaction& transaction,
                          const std::function<void(commit_answer)>& done) {
      const auto intercept = intercept_commit;
      const auto perform = [this, intercept, transaction] {
        return intercept ? intercept(transaction) : table.Commit(transaction);
      };
      const commit_answer lost{
          answer_state::kUnknown, error_kind::kStoreUnknown, {}};
      HoldOrAnswer<commit_answer>(true, perform, lost, done);
    };
    calls.read = [this, read = calls.read](
                     const std::vector<std::string>& keys,
                     const std::function<void(read_answer)>& done) {
      const auto perform = [read, keys] {
        read_answer answer;
        read(keys, [&](const read_answer& found) { answer = found; });
        return answer;
      };
      HoldOrAnswer<read_answer>(false, perform, {}, done);
    };
    return calls;
  }

  template <class Answer>
  void HoldOrAnswer(bool is_commit,
                    const std::function<Answer()>& perform,
                    const Answer& lost,
                    const std::function<void(Answer)>& done) {
    if (!hold_call) {
      done(perform());
      return;
    }
    const auto answer = std::make_shared<Answer>();
    hold_call({is_commit, [perform, answer] { *answer = perform(); },
               [done, answer] { done(*answer); },
               [done, lost] { done(lost); }});
  }
};

}  // namespace sassafras

#endif  // SASSAFRAS_TESTS_SERVICE_WORLD_H_
