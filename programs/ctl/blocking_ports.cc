#include "programs/ctl/blocking_ports.h"

#include <utility>

namespace sassafras {
namespace {

constexpr duration kCallTimeout = std::chrono::seconds(60);

}  // namespace

blocking_ports::blocking_ports(const std::vector<std::string>& platform)
    : client_(http_client::Make(context_, {}, counters_)),
      table_(MakeHttpTablePort(client_, {platform})),
      objects_(MakeHttpObjectPort(client_, {platform})) {}

// Calls `start` with a completion handler and runs the event loop until the
// answer has arrived.
template <class Answer, class Start>
Answer blocking_ports::Wait(const Start& start) {
  Answer received{};
  start([&received](Answer answer) { received = std::move(answer); });
  context_.restart();
  context_.run();
  return received;
}

commit_answer blocking_ports::Commit(table_transaction transaction) {
  return Wait<commit_answer>([&](auto done) {
    table_.commit(std::move(transaction), std::move(done));
  });
}

read_answer blocking_ports::Read(std::vector<std::string> keys) {
  return Wait<read_answer>(
      [&](auto done) { table_.read(std::move(keys), std::move(done)); });
}

read_answer blocking_ports::Scan(std::string prefix,
                                 std::string after,
                                 std::size_t limit) {
  return Wait<read_answer>([&](auto done) {
    table_.scan(std::move(prefix), std::move(after), limit, std::move(done));
  });
}

answer_state blocking_ports::Put(std::string name, std::string value) {
  return Wait<answer_state>([&](auto done) {
    objects_.put(std::move(name), std::move(value), std::move(done));
  });
}

object_answer blocking_ports::Get(std::string name) {
  return Wait<object_answer>(
      [&](auto done) { objects_.get(std::move(name), std::move(done)); });
}

http_answer blocking_ports::Call(const std::string& address,
                                 http_request request) {
  return Wait<http_answer>([&](auto done) {
    client_->Call(address, std::move(request), connection_choice::kFresh,
                  kCallTimeout, std::move(done));
  });
}

}  // namespace sassafras
