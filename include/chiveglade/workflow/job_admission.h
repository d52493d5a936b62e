// Decides whether a gateway accepts another job, so that what the coordinator
// holds for all accepted jobs fits into its memory.
#ifndef CHIVEGLADE_WORKFLOW_JOB_ADMISSION_H_
#define CHIVEGLADE_WORKFLOW_JOB_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/core/result.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// Returns the memory, in bytes, that a coordinator holds for a job of which
// nothing runs.
uint64_t JobBytes(const job_spec& job);
// Returns in each resource the most that a task of the job reserves.
resources LargestTask(const job_spec& job);
// What a coordinator holds for a run that has not ended, and for a job that has
// ended, in bytes.
constexpr uint64_t kRunBytes = 1'024;
constexpr uint64_t kEndedJobBytes = 256;

// The coordinator's memory for accepted jobs, in bytes.
struct job_room {
  uint64_t budget = 0;
  uint64_t held = 0;            // for all jobs
  uint64_t held_for_queue = 0;  // for the jobs of one queue
  uint32_t gateways = 0;        // that accept jobs
  millis age{0};  // jobs stored longer ago are counted in what is held
  // In each resource the most that a VM for the queue's jobs has; null while
  // not all VMs may have been heard.
  std::optional<resources> largest_vm = {};

  friend bool operator==(const job_room&, const job_room&) = default;
};

// Asked of the coordinator by a gateway.
struct room_question {
  std::string gateway;
  std::string queue;

  friend bool operator==(const room_question&, const room_question&) = default;
};

// CBOR encodings. Decoding malformed bytes fails with "corrupt".
std::string Encode(const room_question& in);
result<room_question> DecodeRoomQuestion(std::string_view bytes);
std::string Encode(const job_room& in);
result<job_room> DecodeJobRoom(std::string_view bytes);

// The decisions of one gateway. Answers a load of valid jobs that come faster
// than they end:
// - A queue may hold as much as is free, so that however much is sent to one
//   queue, as much is left for the others together.
// - A job may take a share of what is left to its queue, so that large jobs are
//   refused before small ones.
// - Gateways decide on their own by what the coordinator last said, so each
//   uses only its share of that until it hears more.
// Does no I/O; single thread.
class job_admission {
 public:
  // `budget` is assumed until a coordinator has been heard.
  explicit job_admission(uint64_t budget) : initial_budget_(budget) {}

  // Returns true if the coordinator is to be asked for the room of a queue
  // before the next decision. Not again soon after true, whatever it answers.
  bool TakeQuestion(const std::string& queue, boot_time now);
  // The coordinator's answer to a question that was sent at `asked_at`.
  void SetRoom(const std::string& queue,
               const job_room& room,
               boot_time asked_at);

  // Returns why no VM can run a task of the queue with this demand, by what is
  // known of the VMs; null if one may.
  std::optional<std::string> WhyNeverRuns(const std::string& queue,
                                          const resources& largest_task,
                                          boot_time now) const;

  // Returns true, and counts the job, if it may be stored now. Call Finish once
  // its write has ended.
  bool Admit(const std::string& queue, uint64_t bytes);
  void Finish(uint64_t bytes, bool may_be_stored, boot_time now);

 private:
  struct known_room {
    std::optional<job_room> room;
    boot_time asked_at{};
    // The last that was known, and when. A new coordinator hears all VMs only
    // after a while.
    std::optional<resources> largest_vm;
    boot_time largest_known_at{};
  };
  struct stored_job {
    boot_time at{};
    uint64_t bytes = 0;
  };

  const uint64_t initial_budget_;
  std::map<std::string, known_room> rooms_;  // by queue
  uint64_t writing_bytes_ = 0;               // of jobs that are being stored
  // Jobs that the coordinator had not counted in its last answer, oldest first,
  // and their sum.
  std::deque<stored_job> stored_;
  uint64_t stored_bytes_ = 0;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_ADMISSION_H_
