#include "chiveglade/workflow/interference_row.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "src/state/cbor.h"

namespace chiveglade::workflow {

namespace {

using state::cbor_array;
using state::cbor_reader;

constexpr uint32_t kVersion = 2;
// Weights and evidence are encoded as integers, in thousandths.
constexpr double kScale = 1'000;
// Bytes of the array heads, the version and the time.
constexpr size_t kHeadBytes = 32;
// A weight that differs by less than both is the same for placement.
constexpr double kWeightStep = 0.03;
constexpr double kWeightShare = 0.2;
constexpr double kEvidenceGrowth = 1.5;
constexpr millis kMaxAge{int64_t{1} << 48};  // keeps sums of ages in range
// Renewed evidence is written again after this time, long before it would have
// decayed.
constexpr millis kRefreshAfter = interference_model::kEvidenceHalfLife / 4;

cbor_array ToCbor(const learned_pair& in) {
  return state::Row(in.best_effort_image, in.serving_image,
                    std::lround(in.weight * kScale),
                    std::lround(in.evidence * kScale), in.age.count());
}

}  // namespace

std::string EncodeInterferenceRow(const interference_row& in,
                                  size_t max_bytes) {
  cbor_array pairs;
  size_t bytes = kHeadBytes;
  for (const auto& pair : in.pairs) {
    const auto next = ToCbor(pair);
    bytes += next.Bytes().size();
    if (bytes > max_bytes) {
      break;
    }
    pairs.push_back(next);
  }
  return state::WriteCbor(state::Row(kVersion, in.written_unix_ms, pairs));
}

result<interference_row> DecodeInterferenceRow(std::string_view bytes) {
  if (bytes.size() > kMaxInterferenceRowBytes) {
    return reason{"too_large",
                  "the row has " + std::to_string(bytes.size()) + " bytes"};
  }
  auto parsed = state::ParseCborArray(bytes, "the interference row");
  if (!parsed) {
    return parsed.last_reason();
  }
  cbor_reader in(*parsed);
  const auto version = in.Int<uint32_t>();
  if (in.ok() && version != kVersion) {
    return reason{"other_version",
                  "the row has version " + std::to_string(version)};
  }
  interference_row out;
  out.written_unix_ms = in.Int<int64_t>();
  out.pairs = in.List<learned_pair>([](cbor_reader& at) {
    learned_pair pair;
    pair.best_effort_image = at.Text();
    pair.serving_image = at.Text();
    pair.weight = at.Int<int32_t>() / kScale;
    pair.evidence = at.Int<uint32_t>() / kScale;
    pair.age = at.Millis();
    if (pair.age < millis(0) || pair.age > kMaxAge) {
      at.Fail();
    }
    return pair;
  });
  if (!in.Finished() || out.written_unix_ms < 0) {
    return reason{"corrupt", "the interference row has the wrong fields"};
  }
  return out;
}

bool DiffersInEffect(const interference_row& before,
                     const interference_row& now) {
  if (before.pairs.size() != now.pairs.size()) {
    return true;
  }
  std::map<std::pair<std::string, std::string>, const learned_pair*> known;
  for (const auto& pair : before.pairs) {
    known[{pair.best_effort_image, pair.serving_image}] = &pair;
  }
  const millis passed(now.written_unix_ms - before.written_unix_ms);
  return std::any_of(
      now.pairs.begin(), now.pairs.end(), [&](const learned_pair& pair) {
        const auto at =
            known.find({pair.best_effort_image, pair.serving_image});
        if (at == known.end()) {
          return true;
        }
        const auto& earlier = *at->second;
        const double difference = std::abs(pair.weight - earlier.weight);
        const bool is_renewed = pair.age < passed;
        return difference > std::max(kWeightStep,
                                     kWeightShare * std::max(pair.weight,
                                                             earlier.weight)) ||
               pair.evidence > kEvidenceGrowth * earlier.evidence ||
               (is_renewed && passed >= kRefreshAfter);
      });
}

}  // namespace chiveglade::workflow
