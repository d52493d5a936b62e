#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "chiveglade/control/control_reader.h"
#include "chiveglade/control/manifest_publisher.h"
#include "tests/support/memory_store.h"

namespace chiveglade::control {
namespace {

using testing::memory_store;
using testing::store_fault;

std::string ManifestWith(int replicas) {
  config::manifest in;
  in.data_centres = {{"derby", "midlands"}};
  in.largest_vm = {1000, 1000, 0};
  in.tenants = {{"ladder", {1000, 1000, 0}}};
  in.classes.emplace_back().name = "bookings";
  config::service_spec service;
  service.name = "ladder";
  service.tenant = "ladder";
  service.klass = "bookings";
  service.replicas = static_cast<uint32_t>(replicas);
  in.services.push_back(service);
  return config::WriteManifest(in);
}

publish_outcome Publish(memory_store& platform,
                        const std::string& text,
                        uint64_t expected,
                        const std::string& by) {
  publish_outcome out;
  PublishManifest(platform.table(), platform.objects(),
                  {text, expected, by, by + std::to_string(expected)},
                  [&out](const publish_outcome& got) { out = got; });
  return out;
}

std::shared_ptr<control_reader> MakeReader(memory_store& platform,
                                           boot_time& now) {
  return *control_reader::Make({}, platform.table(), platform.objects(),
                               [&now] { return now; }, {});
}

}  // namespace

// Guards against the second of two concurrent publications overwriting the
// first.
TEST_CASE("of two operators that saw the same version one wins") {
  memory_store platform;
  CHECK(Publish(platform, ManifestWith(1), 0, "ann").current.version == 1);
  CHECK(Publish(platform, ManifestWith(2), 1, "ann").status ==
        publish_status::kAccepted);
  const auto late = Publish(platform, ManifestWith(3), 1, "bob");
  CHECK(late.status == publish_status::kConflict);
  CHECK(late.current.version == 2);
  CHECK(late.current.by == "ann");
}

// Guards against reporting a failure after the write took effect, and against
// publishing twice.
TEST_CASE("a publication whose answer was lost is resolved by reading") {
  memory_store platform;
  int commits = 0;
  platform.SetFaults([&commits](const std::string& call, const std::string&) {
    return call == "commit" && ++commits == 1 ? store_fault::kLoseAnswer
                                              : store_fault::kNone;
  });
  const auto out = Publish(platform, ManifestWith(1), 0, "ann");
  CHECK(out.status == publish_status::kAccepted);
  CHECK(out.current.version == 1);
  CHECK(commits == 1);
}

TEST_CASE("a publication that never reached the store is sent again") {
  memory_store platform;
  int commits = 0;
  platform.SetFaults([&commits](const std::string& call, const std::string&) {
    return call == "commit" && ++commits == 1 ? store_fault::kLoseRequest
                                              : store_fault::kNone;
  });
  CHECK(Publish(platform, ManifestWith(1), 0, "ann").current.version == 1);
  CHECK(commits == 2);
}

TEST_CASE("while the store is down nothing is accepted") {
  memory_store platform;
  platform.SetFaults([](const std::string&, const std::string&) {
    return store_fault::kRefuse;
  });
  CHECK(Publish(platform, ManifestWith(1), 0, "ann").status ==
        publish_status::kNotAccepted);
}

// Guards against a reader that reverts to an older manifest received from a
// peer or in a delayed answer.
TEST_CASE("a reader never adopts an older manifest") {
  memory_store platform;
  boot_time now{};
  const auto reader = MakeReader(platform, now);
  CHECK_FALSE(reader->ready());
  Publish(platform, ManifestWith(1), 0, "ann");
  Publish(platform, ManifestWith(2), 1, "ann");
  reader->Poll();
  CHECK(reader->ready());
  CHECK(reader->view()->published.version == 2);
  CHECK_FALSE(reader->AdoptFromPeer(1, ManifestWith(1)));
  CHECK(reader->view()->manifest->services[0].replicas == 2);
  CHECK(reader->AdoptFromPeer(3, ManifestWith(7)));
  reader->Poll();
  CHECK(reader->view()->published.version == 3);
}

// Guards against an entry that starts during a store outage and never becomes
// ready, or that reports rows as confirmed that it could not read.
TEST_CASE("an entry started in an outage takes the manifest of a peer") {
  memory_store platform;
  boot_time now{};
  const auto reader = MakeReader(platform, now);
  platform.SetFaults([](const std::string&, const std::string&) {
    return store_fault::kLoseRequest;
  });
  reader->Poll();
  CHECK_FALSE(reader->ready());
  CHECK(reader->AdoptFromPeer(4, ManifestWith(4)));
  CHECK(reader->ready());
  CHECK_FALSE(reader->confirmed_at());
  platform.SetFaults({});
  now += millis(1'000);
  reader->Poll();
  CHECK(reader->confirmed_at() == now);
}

// Guards against adopting a corrupted body from the object store.
TEST_CASE("a body that does not match its hash is not adopted") {
  memory_store platform;
  boot_time now{};
  const auto reader = MakeReader(platform, now);
  Publish(platform, ManifestWith(1), 0, "ann");
  const std::string key = ManifestObjectKey(HashManifest(ManifestWith(1)));
  platform.objects().put(key, ManifestWith(9), [](const result<done>&) {});
  reader->Poll();
  CHECK(reader->view()->published.version == 0);
  CHECK_FALSE(reader->confirmed_at());
}

// Guards against announcing entries to agents that have stopped long ago.
TEST_CASE("an entry whose row stops changing is no longer listed") {
  memory_store platform;
  boot_time now{};
  control_reader_options options;
  options.self = {"e1", "derby", "127.0.0.1:1"};
  const auto self =
      *control_reader::Make(options, platform.table(), platform.objects(),
                            [&now] { return now; }, {});
  const auto other = MakeReader(platform, now);
  self->Poll();
  other->Poll();
  REQUIRE(other->view()->entries.size() == 1);
  CHECK(other->view()->entries[0] == options.self);
  now += options.entry_expiry;
  other->Poll();
  CHECK(other->view()->entries.empty());
  self->Poll();
  other->Poll();
  CHECK(other->view()->entries.size() == 1);
}

// Guards against any mix of faults and concurrent publishers that loses an
// accepted version, assigns a version twice, or lets a reader revert to an
// older one.
TEST_CASE("accepted versions are unique and readers only move forward") {
  const bool held = rc::check([] {
    memory_store platform;
    boot_time now{};
    const auto reader = MakeReader(platform, now);
    platform.SetFaults([](const std::string&, const std::string&) {
      return *rc::gen::weightedElement<store_fault>(
          {{6, store_fault::kNone},
           {1, store_fault::kRefuse},
           {1, store_fault::kLoseRequest},
           {1, store_fault::kLoseAnswer}});
    });
    std::map<uint64_t, std::string> accepted;
    uint64_t seen = 0;
    for (int step = 0; step < 20; ++step) {
      const auto expected = *rc::gen::inRange<uint64_t>(seen, seen + 2);
      const auto out = Publish(platform, ManifestWith(step), expected,
                               "op" + std::to_string(step));
      if (out.status == publish_status::kAccepted) {
        RC_ASSERT(
            accepted.emplace(out.current.version, out.current.hash).second);
      }
      reader->Poll();
      RC_ASSERT(reader->view()->published.version >= seen);
      seen = reader->view()->published.version;
      if (const auto at = accepted.find(seen); at != accepted.end()) {
        RC_ASSERT(reader->view()->published.hash == at->second);
      }
    }
  });
  CHECK(held);
}

}  // namespace chiveglade::control
