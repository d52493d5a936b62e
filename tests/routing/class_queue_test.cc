#include "chiveglade/routing/class_queue.h"

#include <catch2/catch.hpp>

namespace chiveglade::routing {

namespace {

struct fixture {
  boot_time now{millis(1'000'000)};
  std::map<class_queue::ticket, std::string> ended;  // "done" or a reason
  std::vector<class_queue::ticket> granted;
  std::shared_ptr<class_queue> queue;

  explicit fixture(uint32_t slots = 2, uint32_t connections = 64) {
    queue = *class_queue::Make({slots,
                                connections,
                                {{"urgent", 0, 2},
                                 {"normal", 1, 4},
                                 {"archive", 5, 100, millis(0), 50}}},
                               [this] { return now; });
  }
  class_queue::ticket Add(const std::string& klass, int left_ms = 60'000) {
    return queue->Enqueue(
        klass, now + millis(left_ms), [this](auto ticket, const auto& got) {
          CHECK(ended.count(ticket) == 0);
          ended[ticket] = got ? "done" : got.last_reason().code;
          if (got) {
            granted.push_back(ticket);
          }
        });
  }
  void Finish(class_queue::ticket which, int took_ms = 1) {
    queue->Finish(which, millis(took_ms));
  }
};

struct one_slot : fixture {
  one_slot() : fixture(1) {}
};

struct few_connections : fixture {
  few_connections() : fixture(2, 3) {}
};

}  // namespace

// Guards against less urgent classes that delay urgent requests, and against
// reordering within a rank.
TEST_CASE_METHOD(one_slot,
                 "slots are granted by rank and then in order of arrival") {
  const auto running = Add("normal");
  const auto n1 = Add("normal");
  const auto a1 = Add("archive");
  const auto n2 = Add("normal");
  const auto u1 = Add("urgent");
  for (auto each : {running, u1, n1, n2, a1}) {
    Finish(each);
  }
  CHECK(granted == std::vector{running, u1, n1, n2, a1});
  CHECK(queue->load() == queue_load{1, 0, 0, 0, millis(1)});
}

// Guards against archive reads that take all slots of an idle target, so that
// other requests have to wait for them.
TEST_CASE_METHOD(fixture, "a class gets at most its share of the slots") {
  const auto first = Add("archive");
  Add("archive");
  CHECK(queue->load().in_use == 1);
  Add("normal");
  CHECK(queue->load().in_use == 2);
  Finish(first);
  CHECK(queue->load().in_use == 2);
  CHECK(queue->load().queued == 0);
}

// Guards against unbounded queues and against accepting an unknown class.
TEST_CASE_METHOD(one_slot, "a full queue and an unknown class are refused") {
  Add("urgent");
  Add("urgent");
  Add("urgent");
  CHECK(ended.size() == 1);
  CHECK(ended[Add("urgent")] == "queue_full");
  CHECK(ended[Add("none")] == "unknown_class");
  CHECK(queue->load().queued == 2);
}

// Guards against executing requests after their deadline, when the caller has
// stopped waiting, and against one slow response that raises the average
// latency so far that every later request is refused.
TEST_CASE_METHOD(one_slot,
                 "requests that cannot meet their deadline are refused") {
  const auto running = Add("normal");
  const auto waiting = Add("normal", 100);
  now += millis(99);
  queue->Tick();
  CHECK(ended.count(waiting) == 0);
  now += millis(1);
  queue->Tick();
  CHECK(ended[waiting] == "deadline");
  Finish(running, 10'000);
  const auto again = Add("normal", 500);
  CHECK(ended[again] == "done");
  CHECK(ended[Add("normal", 500)] == "deadline");
  CHECK(ended[Add("urgent", 9'000)] == "deadline");
  for (int i = 0; i < 60; ++i) {
    Finish(granted.back(), 1);
    Add("normal", 500);
  }
  const auto behind = Add("normal", 500);
  CHECK(ended.count(behind) == 0);
  queue->Cancel(behind);
  CHECK(ended[behind] == "cancelled");
  CHECK(ended[Add("archive", 0)] == "deadline");
}

// Guards against slots that stay occupied by responses nobody reads, and
// against more connections than the replica accepts.
TEST_CASE_METHOD(few_connections, "a released slot keeps its connection") {
  const auto a = Add("normal");
  const auto b = Add("normal");
  const auto c = Add("normal");
  const auto d = Add("normal");
  CHECK(granted == std::vector{a, b});
  queue->ReleaseSlot(a);
  queue->ReleaseSlot(a);
  CHECK(granted == std::vector{a, b, c});
  queue->ReleaseSlot(b);
  CHECK(granted == std::vector{a, b, c});
  CHECK(queue->load().connections == 3);
  Finish(a);
  Finish(a);
  CHECK(granted == std::vector{a, b, c, d});
  Finish(b);
  Finish(c);
  Finish(d);
  CHECK(queue->load().in_use == 0);
  CHECK(queue->load().connections == 0);
}

// Guards against requests whose callback never runs because a new manifest
// removed their class while they waited.
TEST_CASE_METHOD(one_slot,
                 "limits can change while requests wait in the queue") {
  const auto running = Add("normal");
  const auto gone = Add("archive");
  const auto kept = Add("normal");
  queue->Reconfigure({2, 64, {{"normal", 0, 4}}});
  CHECK(ended[gone] == "unknown_class");
  CHECK(granted == std::vector{running, kept});
  CHECK_FALSE(class_queue::Make({0, 1, {{"a"}}}, [] { return boot_time(); }));
  CHECK_FALSE(class_queue::Make({2, 0, {{"a"}}}, [] { return boot_time(); }));
  queue->Reconfigure({0, 64, {{"normal"}}});
  CHECK(queue->load().slots == 2);
}

}  // namespace chiveglade::routing
