// Which entries get a heartbeat when.
#ifndef CHIVEGLADE_AGENT_HEARTBEAT_SCHEDULE_H_
#define CHIVEGLADE_AGENT_HEARTBEAT_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::agent {

struct schedule_options {
  std::string data_centre;         // the agent's own
  std::vector<std::string> seeds;  // "ip:port" from the settings
  millis period{1'000};
};

// One heartbeat to send now; without task reports unless `full`.
struct due_heartbeat {
  std::string address;
  bool full = false;

  friend bool operator==(const due_heartbeat&, const due_heartbeat&) = default;
};

// Pure. The scheduler and the entries of the agent's data centre get a full
// heartbeat each period, all others a partial one every third period. An entry
// that fails is tried less often, with jitter, and never given up while it is
// listed. Addresses of the settings that no entry lists, such as a balancer's,
// are used only while no listed entry answers. Not thread-safe.
class heartbeat_schedule {
 public:
  // Refuses an empty list of seeds and a period that is not positive.
  static result<std::unique_ptr<heartbeat_schedule>> Make(
      schedule_options options,
      random_fn random);

  // Heartbeats to send now. Each is under way until OnAnswer or OnFailure is
  // called for its address. With `urgent`, the scheduler's is due at once.
  std::vector<due_heartbeat> Due(boot_time now, bool urgent);

  void OnAnswer(const std::string& address,
                const state::heartbeat_answer& answer,
                boot_time now);
  void OnFailure(const std::string& address, boot_time now);

  // Makes every known entry due at once, to announce that the agent leaves.
  void MakeAllDue(boot_time now);
  // True once every entry that MakeAllDue made due has answered or failed.
  bool AllTold(boot_time now) const;

  // The entry that schedules as far as known; may be empty.
  const std::string& scheduler() const { return scheduler_; }
  // Listed entries, without seeds that no entry lists.
  size_t listed() const;

  // An entry that no answer has listed for this long is dropped. Entries renew
  // their rows every 10 s.
  static constexpr millis kRetention{60'000};

 private:
  struct peer {
    std::string data_centre;
    bool listed = false;
    boot_time listed_at{};
    boot_time next{};
    boot_time sent{};
    boot_time answered{};
    uint32_t failures = 0;
    bool under_way = false;
    bool told = true;  // a heartbeat was sent since MakeAllDue
  };

  heartbeat_schedule(schedule_options options, random_fn random);

  bool Full(const std::string& address, const peer& to) const;
  bool Used(const peer& to, boot_time now) const;
  millis Interval(const std::string& address, const peer& to) const;
  millis Jittered(millis length);
  void Learn(const state::heartbeat_answer& answer, boot_time now);
  void LearnScheduler(const std::string& address,
                      const state::heartbeat_answer& answer,
                      boot_time now);

  schedule_options options_;
  random_fn random_;
  std::map<std::string, peer> peers_;
  std::string scheduler_;
  uint64_t epoch_ = 0;
  boot_time scheduler_answered_{};
  boot_time listed_answered_{};
};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_HEARTBEAT_SCHEDULE_H_
