#include "programs/gateway/request_service.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <random>

#include "sassafras/core/digest.h"
#include "sassafras/request/request_codec.h"

namespace sassafras {
namespace {

constexpr duration kMembersInterval = std::chrono::milliseconds(500);
// stop_cut_requests counts the requests that are open this long before the
// drain deadline, since they will be cut off by it.
constexpr duration kCutCountLeadTime = std::chrono::milliseconds(50);
constexpr duration kLeavingInterval = std::chrono::seconds(1);
constexpr std::string_view kMinionPath = "/v1/requests/";

gateway_member ToGateway(const member& item) {
  return {item.id, std::to_string(item.start)};
}

// Returns this incarnation of this process as membership announces it to peers.
gateway_member SelfOf(const node& owner) {
  for (const member& item : owner.Members()) {
    if (item.id == owner.Settings().id) {
      return ToGateway(item);
    }
  }
  return {owner.Settings().id, {}};
}

bool IsGateway(const peer_settings& peer) {
  return peer.role == process_role::kGateway;
}

request_options MakeOptions(const process_settings& settings,
                            const gateway_member& self) {
  request_options options;
  options.self = self;
  options.place = settings.place;
  const auto others = std::count_if(
      settings.peers.begin(), settings.peers.end(), [&](const auto& peer) {
        return IsGateway(peer) && peer.id != settings.id;
      });
  options.gateway_count = 1 + static_cast<int>(others);
  return options;
}

// Parses a number of milliseconds from 1 to kMaxMilliseconds (one day). Returns
// 0 for an empty text and empty for an invalid one.
std::optional<duration> ParseTimeout(const std::string& text) {
  if (text.empty()) {
    return duration(0);
  }
  constexpr std::int64_t kMaxMilliseconds = 86'400'000;
  std::int64_t value = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc() || end != text.data() + text.size() || value <= 0 ||
      value > kMaxMilliseconds) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

}  // namespace

request_service::request_service(node& owner)
    : node_(owner),
      self_(SelfOf(owner)),
      random_(std::random_device{}()),
      core_(MakeOptions(owner.Settings(), self_), owner.Counters()) {
  RefreshMembers();
  node_.Every(kMembersInterval, [this] { RefreshMembers(); });
  node_.Every(kLeavingInterval, [this] { RefreshLeavingMinions(); });
}

void request_service::Handle(http_exchange exchange,
                             const std::string& class_name) {
  const http_request& message = exchange.request;
  const auto timeout = ParseTimeout(message.Header("x-timeout-ms"));
  if (message.method != "POST" || !timeout) {
    node_.Counters().AddError(error_kind::kMalformed);
    exchange.reply(ErrorResponse(
        Fail(error_kind::kMalformed, timeout ? "method" : "x-timeout-ms")));
    return;
  }
  request_arrived event;
  event.class_name.value = class_name;
  event.authorization = message.Header("authorization");
  event.key = message.Header("idempotency-key");
  event.timeout = *timeout;
  if (!event.key.empty()) {
    event.body_sha256 = Sha256Hex(message.body);
  }
  {
    const std::lock_guard lock(mutex_);
    event.request = next_request_++;
    open_request& added = open_[event.request];
    added.reply = exchange.reply;
    added.body =
        std::make_shared<const std::string>(std::move(exchange.request.body));
  }
  exchange.on_disconnect(
      [this, id = event.request] { HandleEvent(caller_disconnected{id}); });
  HandleEvent(event);
}

// Passes one event to request_core and executes the returned actions. They are
// prepared with the mutex held and executed without it.
void request_service::HandleEvent(const request_event& event) {
  tasks planned;
  {
    const std::lock_guard lock(mutex_);
    for (request_action& action : core_.Handle(event, Now(), random_)) {
      planned.push_back(std::visit(
          [this](auto& item) { return Plan(std::move(item)); }, action));
    }
    PlanWakeUp(planned);
  }
  for (const task& item : planned) {
    if (item) {
      item();
    }
  }
}

void request_service::PlanWakeUp(tasks& planned) {
  const auto wake = core_.NextWake();
  if (!wake || *wake >= wake_at_) {
    return;
  }
  wake_at_ = *wake;
  planned.emplace_back([this, at = *wake] {
    node_.After(std::max(duration(0), at - Now()), [this, at] {
      {
        const std::lock_guard lock(mutex_);
        if (wake_at_ == at) {
          wake_at_ = instant::max();
        }
      }
      HandleEvent(time_passed{});
    });
  });
}

request_service::task request_service::Plan(reply_error action) {
  http_reply reply = open_[action.request].reply;
  return [reply = std::move(reply), action = std::move(action)] {
    http_response response = ErrorResponse(action.failure, action.outcome);
    response.headers["x-sassafras-outcome"] =
        std::string(GetName(action.outcome));
    if (action.retry_after > duration(0)) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(action.retry_after);
      response.headers["retry-after"] = std::to_string(seconds.count());
    }
    reply(std::move(response));
  };
}

void request_service::Reply(const http_reply& reply,
                            const minion_answer& answer) const {
  http_response response;
  response.headers["x-sassafras-outcome"] =
      std::string(GetName(run_outcome::kRan));
  response.body = answer.body;
  reply(std::move(response));
}

request_service::task request_service::Plan(const reply_answer& action) {
  const open_request& open = open_[action.request];
  return [this, reply = open.reply, answer = open.answers.at(action.send)] {
    Reply(reply, answer);
  };
}

request_service::task request_service::Plan(const reply_stored& action) {
  const open_request& open = open_[action.request];
  return [this, reply = open.reply, answer = open.stored] {
    Reply(reply, answer);
  };
}

request_service::task request_service::Plan(send_request action) {
  minion_request message;
  message.path = std::string(kMinionPath) + action.class_name.value;
  message.key = action.key;
  message.body = open_[action.request].body;
  message.connection = action.connection;
  message.timeout = action.timeout;
  return [this, action = std::move(action), message = std::move(message)] {
    node_.Minions().send(action.address, message,
                         [this, request = action.request,
                          send = action.send](minion_answer answer) {
                           OnSendEnded(request, send, std::move(answer));
                         });
  };
}

void request_service::OnSendEnded(request_id request,
                                  send_id send,
                                  minion_answer answer) {
  send_ended event{send, answer.state, answer.status,
                   answer.is_refused_as_leaving};
  {
    const std::lock_guard lock(mutex_);
    const auto open = open_.find(request);
    if (open != open_.end() && answer.state == answer_state::kDone) {
      open->second.answers[send] = std::move(answer);
    }
  }
  HandleEvent(event);
}

request_service::task request_service::Plan(const trim_connections& action) {
  return [this, action] { node_.Minions().trim(action.address, action.keep); };
}

request_service::task request_service::Plan(commit_rows action) {
  return [this, action = std::move(action)] {
    node_.Table().commit(action.transaction,
                         [this, call = action.call](commit_answer answer) {
                           HandleEvent(rows_committed{call, std::move(answer)});
                         });
  };
}

request_service::task request_service::Plan(read_rows action) {
  return [this, action = std::move(action)] {
    node_.Table().read(action.keys,
                       [this, call = action.call](read_answer answer) {
                         HandleEvent(rows_read{call, std::move(answer)});
                       });
  };
}

request_service::task request_service::Plan(const store_answer& action) {
  const minion_answer& answer = open_[action.request].answers.at(action.send);
  return [this, action, value = EncodeStoredAnswer(answer)] {
    node_.Objects().put(action.object, value,
                        [this, request = action.request](answer_state state) {
                          HandleEvent(answer_stored{request, state});
                        });
  };
}

request_service::task request_service::Plan(const load_answer& action) {
  return [this, action] {
    node_.Objects().get(action.object, [this, request = action.request](
                                           const object_answer& answer) {
      OnLoaded(request, answer);
    });
  };
}

void request_service::OnLoaded(request_id request,
                               const object_answer& answer) {
  answer_loaded event{request, false, 0};
  if (answer.state == answer_state::kDone && answer.exists) {
    if (auto stored = DecodeStoredAnswer(answer.value)) {
      event.is_found = true;
      event.status = stored->status;
      const std::lock_guard lock(mutex_);
      const auto open = open_.find(request);
      if (open != open_.end()) {
        open->second.stored = std::move(*stored);
      }
    }
  }
  HandleEvent(event);
}

request_service::task request_service::Plan(const send_slot_message& action) {
  const auto& peers = node_.Settings().peers;
  const auto peer =
      std::find_if(peers.begin(), peers.end(),
                   [&](const auto& item) { return item.id == action.to; });
  if (peer == peers.end()) {
    return nullptr;
  }
  return
      [this, address = peer->address,
       message = EncodeSlotMessage(action.message, node_.Settings().cluster)] {
        if (!node_.Peers().send(address, message)) {
          node_.Counters().Add("slot_message_dropped");
        }
      };
}

request_service::task request_service::Plan(const request_ended& action) {
  open_.erase(action.request);
  return nullptr;
}

request_service::task request_service::Plan(const stop_completed& /*action*/) {
  return on_stopped_;
}

void request_service::OnConfig(const config_ptr& config) {
  HandleEvent(config_changed{config});
}

void request_service::OnPeerMessage(const std::string& kind,
                                    const std::string& body) {
  if (kind != kSlotMessageKind) {
    return;
  }
  auto message = DecodeSlotMessage(body);
  if (!message) {
    node_.Counters().Add("peer_message_malformed");
    return;
  }
  HandleEvent(slot_message_received{std::move(*message)});
}

void request_service::Stop(std::function<void()> done) {
  {
    const std::lock_guard lock(mutex_);
    on_stopped_ = std::move(done);
  }
  const duration deadline = node_.Settings().drain_deadline;
  node_.After(std::max(duration(0), deadline - kCutCountLeadTime), [this] {
    const std::lock_guard lock(mutex_);
    const int unfinished = core_.Load().open;
    node_.Counters().Add("stop_cut_requests",
                         static_cast<std::uint64_t>(unfinished));
  });
  HandleEvent(stop_requested{});
}

void request_service::RefreshMembers() {
  members_changed event;
  const std::string_view role = GetName(process_role::kGateway);
  for (const member& item : node_.Members()) {
    if (item.role == role) {
      event.gateways.push_back(ToGateway(item));
    }
  }
  HandleEvent(event);
}

void request_service::RefreshLeavingMinions() {
  node_.VmList().list([this](const vm_list_answer& answer) {
    if (answer.state != answer_state::kDone) {
      node_.Counters().Add("vm_list_read_failed");
      return;
    }
    leaving_minions_listed event;
    for (const vm_entry& entry : answer.entries) {
      if (entry.is_leaving) {
        event.leaving.insert({entry.name});
      }
    }
    HandleEvent(event);
  });
}

}  // namespace sassafras
