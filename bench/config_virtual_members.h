#ifndef SASSAFRAS_BENCH_CONFIG_VIRTUAL_MEMBERS_H_
#define SASSAFRAS_BENCH_CONFIG_VIRTUAL_MEMBERS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bench/config_virtual_network.h"
#include "sassafras/cluster/membership.h"
#include "sassafras/cluster/membership_codec.h"

namespace sassafras {

/// Membership of numbered processes over a virtual network. Process i has the
/// address "i"; every process knows all others from its settings.
class virtual_members {
 public:
  virtual_members(int processes, std::uint64_t seed)
      : network(processes, seed) {
    for (int i = 0; i < processes; ++i) {
      views_.emplace_back();
      running_.push_back(false);
      versions_.push_back(0);
    }
    for (int i = 0; i < processes; ++i) {
      Start(i);
    }
  }

  static process_id IdOf(int process) {
    return {"p" + std::to_string(process)};
  }

  void RunFor(duration time) { network.RunFor(time); }
  const membership& View(int process) const { return *views_[Index(process)]; }
  bool IsRunning(int process) const { return running_[Index(process)]; }
  std::uint64_t Count(const std::string& name) const {
    return counters_.Get(name);
  }

  void Stop(int process) {
    running_[Index(process)] = false;
    network.SetReceiver(process, nullptr);
  }

  void Restart(int process) {
    Stop(process);
    Start(process);
  }

  void Leave(int process) {
    Carry(process, views_[Index(process)]->Leave(network.random));
    Stop(process);
  }

  void Pause(int process, duration time) { network.Pause(process, time); }

  /// Another start takes over the name and address of a paused process, whose
  /// former self then wakes and speaks with its old state.
  void ReplaceWhilePaused(int process) {
    auto former = views_[Index(process)];
    Restart(process);
    network.RunFor(std::chrono::seconds(10));
    const member_message heard = MessageOf(*views_[Index(process)]);
    former->OnMessage(network.Now(), heard, network.random);
    former->OnMessage(network.Now(), heard, network.random);
  }

  void CutLink(int from, int to) {
    if (from != to) {
      network.cut.insert({from, to});
    }
  }
  void SilenceLink(int from, int to) { network.silent.insert({from, to}); }
  bool IsSilent(int from, int to) const {
    return network.silent.contains({from, to});
  }

  /// Cuts all links between processes below `first` and the others.
  void Partition(int first) {
    const int count = static_cast<int>(views_.size());
    for (int a = 0; a < first; ++a) {
      for (int b = first; b < count; ++b) {
        network.cut.insert({a, b});
        network.cut.insert({b, a});
      }
    }
  }
  void Heal() { network.cut.clear(); }

  void Hint(int viewer, int subject) {
    views_[Index(viewer)]->OnPlatformHint({IdOf(subject)});
  }

  /// Puts `version` in force at one process, unless it has a newer one.
  void Adopt(int process, std::uint64_t version) {
    if (version > versions_[Index(process)]) {
      versions_[Index(process)] = version;
      views_[Index(process)]->SetConfigVersion(version);
    }
  }
  std::uint64_t VersionOf(int process) const {
    return versions_[Index(process)];
  }

  virtual_network network;

 private:
  static constexpr duration kTick = std::chrono::milliseconds(100);

  static std::size_t Index(int process) {
    return static_cast<std::size_t>(process);
  }

  static member_message MessageOf(const membership& view) {
    member_message message;
    message.sender = {"another"};
    message.kind = member_message_kind::kPing;
    message.updates = {view.Self()};
    return message;
  }

  void Start(int process) {
    const int count = static_cast<int>(running_.size());
    std::vector<member> seeds;
    seeds.reserve(running_.size());
    for (int i = 0; i < count; ++i) {
      seeds.push_back({IdOf(i), "gateway", std::to_string(i), {"lahore"}});
    }
    member self = seeds[Index(process)];
    self.start = ++last_start_;
    auto view = std::make_shared<membership>(membership_options{}, self, seeds,
                                             counters_);
    views_[Index(process)] = view;
    running_[Index(process)] = true;
    network.SetReceiver(
        process, [this, process, view](const std::string& bytes) {
          const auto wire = DecodePeerMessage(bytes);
          const auto message = DecodeMemberMessage(wire.value());
          Carry(process, view->OnMessage(network.Now(), message.value(),
                                         network.random));
        });
    const auto phase = duration(static_cast<std::int64_t>(
        network.random() % static_cast<std::uint64_t>(kTick.count())));
    network.After(process, phase,
                  [this, process, view] { Tick(process, view); });
  }

  void Tick(int process, const std::shared_ptr<membership>& view) {
    if (views_[Index(process)] != view || !running_[Index(process)]) {
      return;
    }
    Carry(process, view->OnTick(network.Now(), network.random));
    network.After(process, kTick,
                  [this, process, view] { Tick(process, view); });
  }

  void Carry(int process, const member_actions& actions) {
    for (const std::string& address : actions.links_to_reset) {
      network.Reset(process, std::stoi(address));
    }
    for (const auto& seen : actions.versions) {
      // The question and the answer cross the network once each.
      if (seen.config_version > versions_[Index(process)]) {
        network.After(process, 2 * network.latency,
                      [this, process, version = seen.config_version] {
                        Adopt(process, version);
                      });
      }
    }
    for (const auto& send : actions.sends) {
      network.Send(process, std::stoi(send.address),
                   EncodeMemberMessage("piwhma", send.message));
    }
  }

  counter_table counters_;
  std::vector<std::shared_ptr<membership>> views_;
  std::vector<bool> running_;
  std::vector<std::uint64_t> versions_;
  std::uint64_t last_start_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_CONFIG_VIRTUAL_MEMBERS_H_
