#include "programs/entry/call_relay.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <random>
#include <string_view>
#include <utility>

#include "sassafras/core/digest.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

constexpr duration kReadInterval = 5s;
constexpr duration kRetryDelay = 500ms;
// Limit of known peers. A third of them may be turned away, too.
constexpr std::size_t kMaxPeers = 16;
constexpr std::size_t kKeyDigits = 8;
// A process writes its row anew at this interval. Rows that have not changed
// for longer than the second time are of processes that are gone.
constexpr duration kRegisterInterval = 60s;
constexpr duration kMaxRowAge = 300s;
// Limits of one attempt and of all attempts of a call. Callers that must be
// refused are not held up for longer.
constexpr duration kAttemptTimeout = 600ms;
constexpr duration kMaxRelayTime = 700ms;
constexpr int kServiceUnavailable = 503;
// Headers that concern one connection only.
constexpr std::array<std::string_view, 5> kConnectionHeaders = {
    "connection", "content-length", "expect", "keep-alive",
    "transfer-encoding"};

http_request MakeRelayed(const http_request& request,
                         std::uint64_t min_version) {
  http_request relayed = request;
  for (const std::string_view name : kConnectionHeaders) {
    relayed.headers.erase(std::string(name));
  }
  relayed.headers[kRelayedHeader] = std::to_string(min_version);
  return relayed;
}

std::string TakeHeader(http_response& response, const std::string& name) {
  const auto it = response.headers.find(name);
  if (it == response.headers.end()) {
    return {};
  }
  std::string value = std::move(it->second);
  response.headers.erase(it);
  return value;
}

}  // namespace

std::string EntryKey(const std::string& id) {
  return kEntryTable + Sha256Hex(id).substr(0, kKeyDigits) + "-" + id;
}

std::uint64_t ParseRelayedVersion(const std::string& text) {
  std::uint64_t version = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), version);
  return parsed.ec == std::errc() ? version : 0;
}

std::shared_ptr<call_relay> call_relay::Make(const std::string& id,
                                             std::string address,
                                             const table_port& table,
                                             counter_table& counters,
                                             hooks hooks) {
  return std::shared_ptr<call_relay>(new call_relay(
      id, std::move(address), table, counters, std::move(hooks)));
}

call_relay::call_relay(const std::string& id,
                       std::string address,
                       const table_port& table,
                       counter_table& counters,
                       hooks hooks)
    : key_(EntryKey(id)),
      address_(std::move(address)),
      table_(table),
      counters_(counters),
      hooks_(std::move(hooks)),
      peers_(std::random_device()()) {}

void call_relay::Start() {
  ReadPeers();
}

void call_relay::Stop() {
  std::uint64_t version = 0;
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    version = own_version_;
  }
  if (version != 0) {
    table_.commit({{key_, version, "", true}},
                  [self = shared_from_this()](const commit_answer& answer) {
                    self->counters_.Add(answer.state == answer_state::kDone
                                            ? "entry_row_erased"
                                            : "entry_row_not_erased");
                  });
  }
}

// Reads this process's row, then the rows that follow it, from the beginning
// again after the last one.
void call_relay::ReadPeers() {
  table_.read({key_}, [self = shared_from_this()](const read_answer& answer) {
    if (answer.state != answer_state::kDone) {
      self->ScheduleRead(kRetryDelay);
      return;
    }
    self->ReadRows(self->key_, answer.rows);
  });
}

void call_relay::ReadRows(const std::string& after,
                          std::vector<table_row> rows) {
  table_.scan(
      kEntryTable, after, kMaxPeers + 2 - rows.size(),
      [self = shared_from_this(), after, rows](const read_answer& page) {
        if (page.state != answer_state::kDone) {
          self->ScheduleRead(kRetryDelay);
          return;
        }
        std::vector<table_row> read = rows;
        for (const table_row& row : page.rows) {
          if (row.key != self->key_ && read.size() <= kMaxPeers) {
            read.push_back(row);
          }
        }
        if (read.size() <= kMaxPeers && !after.empty()) {
          self->ReadRows("", std::move(read));
          return;
        }
        self->ApplyRows(read);
        self->ScheduleRead(kReadInterval);
      });
}

void call_relay::ScheduleRead(duration delay) {
  hooks_.after(delay, [weak = weak_from_this()] {
    if (const auto alive = weak.lock()) {
      alive->ReadPeers();
    }
  });
}

// Applies the rows that were read: first that of this process, which may be
// absent, then those of its peers.
void call_relay::ApplyRows(const std::vector<table_row>& rows) {
  const table_row& own = rows.front();
  std::set<std::string> addresses;
  std::map<std::string, std::pair<std::uint64_t, instant>> seen;
  bool should_register = false;
  {
    const std::lock_guard lock(mutex_);
    const instant now = hooks_.now();
    for (auto row = rows.begin() + 1; row != rows.end(); ++row) {
      const auto before = seen_.find(row->key);
      const bool is_same =
          before != seen_.end() && before->second.first == row->version;
      const instant since = is_same ? before->second.second : now;
      seen[row->key] = {row->version, since};
      if (now - since <= kMaxRowAge) {
        addresses.insert(row->value);
      }
    }
    seen_ = std::move(seen);
    peers_.SetPeers(std::move(addresses));
    own_version_ = own.version;
    should_register =
        !is_stopping_ &&
        (own.value != address_ || now - registered_at_ > kRegisterInterval);
    if (should_register) {
      registered_at_ = now;
    }
  }
  if (should_register) {
    Register(own.version);
  }
}

void call_relay::Register(std::uint64_t version) {
  table_.commit({{key_, version, address_}},
                [self = shared_from_this()](const commit_answer& answer) {
                  if (answer.state != answer_state::kDone) {
                    self->counters_.Add("entry_row_not_written");
                    return;  // The next read of the rows shows whether it is.
                  }
                  const std::lock_guard lock(self->mutex_);
                  const table_row* row = FindRow(answer.rows, self->key_);
                  self->own_version_ = row == nullptr ? 0 : row->version;
                });
}

void call_relay::Relay(const http_request& request,
                       std::uint64_t min_version,
                       std::function<void(relay_answer)> done) {
  const auto call = std::make_shared<relayed_call>();
  call->request = MakeRelayed(request, min_version);
  call->done = std::move(done);
  call->began = hooks_.now();
  AskNext(call);
}

void call_relay::AskNext(const std::shared_ptr<relayed_call>& call) {
  std::optional<std::string> peer;
  {
    const std::lock_guard lock(mutex_);
    const instant now = hooks_.now();
    if (now - call->began < kMaxRelayTime && !call->may_have_run) {
      peer = peers_.Choose(now, call->asked);
    }
  }
  if (!peer) {
    counters_.Add("relay_not_served");
    call->done(
        {call->may_have_run ? answer_state::kUnknown : answer_state::kNotDone,
         {}});
    return;
  }
  call->asked.insert(*peer);
  hooks_.send(
      *peer, call->request, kAttemptTimeout,
      [self = shared_from_this(), call, peer = *peer](
          const http_answer& answer) { self->OnAnswer(call, peer, answer); });
}

// A peer that refuses, or that no byte reached, has not acted on the call. A
// query has no effect, so that it can be passed on in any case.
void call_relay::OnAnswer(const std::shared_ptr<relayed_call>& call,
                          const std::string& peer,
                          const http_answer& answer) {
  const bool is_answered = answer.state == answer_state::kDone;
  const bool is_served =
      is_answered && answer.response.status != kServiceUnavailable;
  {
    const std::lock_guard lock(mutex_);
    peers_.OnOutcome(hooks_.now(), peer,
                     is_served     ? peer_outcome::kServed
                     : is_answered ? peer_outcome::kRefused
                                   : peer_outcome::kSilent);
  }
  if (is_served) {
    counters_.Add("relay_served");
    relay_answer served{answer_state::kDone, answer.response};
    served.handled_by_version = ParseRelayedVersion(
        TakeHeader(served.response, kHandledByVersionHeader));
    call->done(std::move(served));
    return;
  }
  call->may_have_run =
      answer.state == answer_state::kUnknown && call->request.method != "GET";
  AskNext(call);
}

}  // namespace sassafras
