#include <catch2/catch.hpp>

#include "chiveglade/authority/commands.h"
#include "tests/support/memory_store.h"

namespace chiveglade::authority {

namespace {

using testing::memory_store;
using testing::store_fault;

data_centre_change Out(const std::string& by, uint64_t seen) {
  return {"dc1", seen, {true, "", by, "fire", by + "-nonce"}};
}

command_outcome Change(memory_store& store, const data_centre_change& change) {
  command_outcome out;
  ChangeDataCentre(store.table(), change,
                   [&out](const command_outcome& got) { out = got; });
  return out;
}

// Applies the faults to successive commits, then none.
testing::store_fault_fn OnCommits(std::vector<store_fault> faults) {
  return [faults, next = size_t{0}](const std::string& call,
                                    const std::string&) mutable {
    return call == "commit" && next < faults.size() ? faults[next++]
                                                    : store_fault::kNone;
  };
}

}  // namespace

// Guards against reporting success to both of two operators whose changes
// conflict.
TEST_CASE(
    "the loser of two concurrent data centre changes gets the winner's name") {
  memory_store store;
  const auto first = Change(store, Out("ann", 0));
  CHECK(first.status == command_status::kAccepted);
  const auto second = Change(store, Out("bob", 0));
  CHECK(second.status == command_status::kConflict);
  CHECK(second.by == "ann");
  CHECK(second.version == first.version);
  CHECK(Change(store, Out("bob", first.version)).status ==
        command_status::kAccepted);
}

// Guards against a wrong outcome reported to an operator after a lost answer.
TEST_CASE("a lost answer is resolved by reading the row") {
  memory_store store;
  SECTION("the write took effect") {
    store.SetFaults(OnCommits({store_fault::kLoseAnswer}));
    const auto outcome = Change(store, Out("ann", 0));
    CHECK(outcome.status == command_status::kAccepted);
    CHECK(outcome.version == store.Read("dc/dc1")->version);
    CHECK(store.commits() == 1);
  }
  SECTION("the write was lost and is sent again") {
    store.SetFaults(OnCommits({store_fault::kLoseRequest}));
    CHECK(Change(store, Out("ann", 0)).status == command_status::kAccepted);
  }
  SECTION("the write was refused") {
    store.SetFaults(OnCommits({store_fault::kRefuse}));
    CHECK(Change(store, Out("ann", 0)).status == command_status::kNotAccepted);
    CHECK_FALSE(store.Read("dc/dc1"));
  }
  SECTION("the row cannot be read either") {
    store.SetFaults([](const std::string&, const std::string&) {
      return store_fault::kLoseAnswer;
    });
    CHECK(Change(store, Out("ann", 0)).status == command_status::kUnknown);
  }
  SECTION("another change followed, perhaps on top of this one") {
    store.SetFaults([&store](const std::string& call, const std::string&) {
      if (call == "read") {
        const auto at = store.Read("dc/dc1");
        CHECK(store
                  .Commit({{{"dc/dc1", at->version}},
                           {{"dc/dc1", WriteDataCentre(Out("bob", 0).row)}}})
                  .status == store::commit_status::kCommitted);
        return store_fault::kNone;
      }
      return store_fault::kLoseAnswer;
    });
    const auto outcome = Change(store, Out("ann", 0));
    CHECK(outcome.status == command_status::kUnknown);
    CHECK(outcome.by == "bob");
  }
}

// Guards against a job that is submitted twice by a caller's retry.
TEST_CASE("submitting the same job again is the same command") {
  memory_store store;
  state::job_spec job;
  job.name = "j";
  job.payload = std::string("\xff\0", 2);
  const auto order = SubmitJob("ann", job);
  const auto read = ReadCommand(order.id, WriteCommand(order));
  REQUIRE(read);
  CHECK(*read == order);
  std::vector<command_status> seen;
  for (int i = 0; i < 2; ++i) {
    SendCommand(store.table(), order, [&seen](const command_outcome& got) {
      seen.push_back(got.status);
    });
  }
  CHECK(seen == std::vector(2, command_status::kAccepted));
  CHECK(store.commits() == 1);
  job.tasks = 2;
  CHECK(SubmitJob("ann", job).id != order.id);
}

}  // namespace chiveglade::authority
