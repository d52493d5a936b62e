#include "chiveglade/workflow/interference_model.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "chiveglade/workflow/headroom.h"

namespace chiveglade::workflow {

namespace {

// Share of the prediction error that one sample corrects, where the task lost
// more headroom than predicted and otherwise. Each VM gives two samples a
// second, and interference changes within seconds.
constexpr double kHarmLearningRate = 0.15;
constexpr double kLearningRate = 0.08;
// The first samples of a pair correct more, so that an initial or restored
// weight is soon replaced: this share, and half of it after kFirstSamples.
constexpr double kFirstLearningRate = 0.5;
constexpr double kFirstSamples = 3;
// Regularisation of the normalised step, in squared cores. Keeps small changes
// of the best-effort load from causing large updates.
constexpr double kRegularisation = 0.5;
// Changes of the headroom are clamped to this. Beyond it they only show that
// the pair is harmful.
constexpr double kMaxHeadroomChange = 3;
// A few cores at this weight take all headroom there is.
constexpr double kMaxWeight = 1.5;
constexpr double kMinWeight = 0.001;
// Changes of the best-effort load below this, in cores, are noise.
constexpr double kMinCoreChange = 0.2;
// Time constant of the smoothing. Measurements cover the last half second.
constexpr double kSmoothingSeconds = 0.5;
// The filter amplifies noise, so its estimate is clamped to between these
// multiples of the measured value.
constexpr double kMinFilteredShare = 0.3;
constexpr double kMaxFilteredShare = 2.5;

// Returns the change of the cores used by best-effort tasks, by image.
std::map<std::string, double> CoreChanges(const interference_sample& before,
                                          const interference_sample& after) {
  std::map<std::string, double> out;
  for (const auto& best_effort : before.best_effort_tasks) {
    out[best_effort.image] -= best_effort.cores;
  }
  for (const auto& best_effort : after.best_effort_tasks) {
    out[best_effort.image] += best_effort.cores;
  }
  return out;
}

double LearningRate(double error, double samples) {
  return std::max(error > 0 ? kHarmLearningRate : kLearningRate,
                  kFirstLearningRate / (1 + samples / kFirstSamples));
}

// Returns the share of evidence that is left after this time.
double KeptShare(millis age) {
  return std::exp2(
      -static_cast<double>(std::max(age, millis(0)).count()) /
      static_cast<double>(interference_model::kEvidenceHalfLife.count()));
}

// Clocks of processes differ, so an age may seem negative.
millis AgeAt(int64_t now_unix_ms, int64_t then_unix_ms) {
  return millis(now_unix_ms > then_unix_ms ? now_unix_ms - then_unix_ms : 0);
}

}  // namespace

double latency_filter::Update(double measured_ms, boot_time now) {
  double out = measured_ms;
  const double seconds = std::chrono::duration<double>(now - at_).count();
  if (has_last_ && seconds > 0) {
    const double kept = std::exp(-seconds / kSmoothingSeconds);
    out = std::clamp((measured_ms - kept * last_) / (1 - kept),
                     kMinFilteredShare * measured_ms,
                     kMaxFilteredShare * measured_ms);
  }
  has_last_ = true;
  last_ = measured_ms;
  at_ = now;
  return out;
}

void interference_model::Learn(const interference_sample& before,
                               const interference_sample& after,
                               int64_t now_unix_ms) {
  std::vector<loss> losses;
  for (const auto& [run, task] : after.serving) {
    const auto earlier = before.serving.find(run);
    if (earlier != before.serving.end() && task.ratio > 0 &&
        earlier->second.ratio > 0) {
      losses.push_back({task.image, HeadroomAt(earlier->second.ratio) -
                                        HeadroomAt(task.ratio)});
    }
  }
  Correct(CoreChanges(before, after), losses, now_unix_ms);
}

void interference_model::LearnFromOwnLoad(
    const interference_sample& sample,
    const std::map<run_key, double>& own_ratios,
    int64_t now_unix_ms) {
  std::vector<loss> losses;
  for (const auto& [run, task] : sample.serving) {
    if (const auto own = own_ratios.find(run);
        own != own_ratios.end() && own->second > 0 && task.ratio > 0) {
      losses.push_back(
          {task.image, HeadroomAt(own->second) - HeadroomAt(task.ratio)});
    }
  }
  Correct(CoreChanges({}, sample), losses, now_unix_ms);
}

void interference_model::Correct(
    const std::map<std::string, double>& cores_by_image,
    const std::vector<loss>& losses,
    int64_t now_unix_ms) {
  double norm = kRegularisation;
  double total = 0;
  for (const auto& [image, cores] : cores_by_image) {
    norm += cores * cores;
    total += std::abs(cores);
  }
  if (total < kMinCoreChange) {
    return;
  }
  for (const auto& lost : losses) {
    double error =
        std::clamp(lost.headroom, -kMaxHeadroomChange, kMaxHeadroomChange);
    for (const auto& [image, cores] : cores_by_image) {
      error -= Weight(image, lost.image) * cores;
    }
    // Tasks of one image on a VM observe the same change, so together they have
    // the weight of one sample.
    const auto same = static_cast<double>(std::count_if(
        losses.begin(), losses.end(),
        [&](const loss& other) { return other.image == lost.image; }));
    const double step = error / norm / same;
    for (const auto& [image, cores] : cores_by_image) {
      auto& pair = EntryFor(image, lost.image);
      pair.weight = std::clamp(
          pair.weight + LearningRate(error, pair.samples) * step * cores,
          kMinWeight, kMaxWeight);
      if (std::abs(cores) >= kMinCoreChange) {
        pair.samples += 1 / same;
        pair.evidence = std::min(kMaxEvidence, pair.evidence + 1 / same);
        pair.learned_unix_ms = now_unix_ms;
      }
    }
  }
  Trim(now_unix_ms);
}

double interference_model::Weight(const std::string& best_effort,
                                  const std::string& serving) const {
  const auto of_serving = pairs_.find(serving);
  if (of_serving == pairs_.end()) {
    return initial_weight_;
  }
  const auto at = of_serving->second.find(best_effort);
  return at == of_serving->second.end() ? initial_weight_ : at->second.weight;
}

std::vector<pair_weight> interference_model::WeightsFor(
    const std::vector<std::string>& serving,
    const std::set<std::string>& first) const {
  std::vector<pair_weight> out;
  for (const auto& [image, pairs] : pairs_) {
    if (std::find(serving.begin(), serving.end(), image) == serving.end()) {
      continue;
    }
    for (const auto& [best_effort, pair] : pairs) {
      out.push_back({best_effort, image, pair.weight});
    }
  }
  std::sort(out.begin(), out.end(),
            [&](const pair_weight& left, const pair_weight& right) {
              const auto rank = [&](const pair_weight& at) {
                return std::tuple(!first.contains(at.best_effort_image),
                                  -at.weight, at.best_effort_image,
                                  at.serving_image);
              };
              return rank(left) < rank(right);
            });
  size_t sent = 0;
  size_t bytes = 0;
  for (; sent < std::min(out.size(), kMaxSentPairs); ++sent) {
    bytes +=
        out[sent].best_effort_image.size() + out[sent].serving_image.size();
    if (bytes > kMaxSentBytes) {
      break;
    }
  }
  out.resize(sent);
  return out;
}

void interference_model::Set(const pair_weight& in) {
  EntryFor(in.best_effort_image, in.serving_image).weight = in.weight;
}

std::vector<learned_pair> interference_model::Export(
    int64_t now_unix_ms) const {
  std::vector<learned_pair> out;
  for (const auto& [serving, pairs] : pairs_) {
    for (const auto& [best_effort, pair] : pairs) {
      if (pair.evidence >= kMinKeptEvidence) {
        out.push_back({best_effort, serving, pair.weight, pair.evidence,
                       AgeAt(now_unix_ms, pair.learned_unix_ms)});
      }
    }
  }
  std::sort(out.begin(), out.end(),
            [](const learned_pair& left, const learned_pair& right) {
              const auto rank = [](const learned_pair& at) {
                return std::tuple(-at.evidence * KeptShare(at.age),
                                  at.serving_image, at.best_effort_image);
              };
              return rank(left) < rank(right);
            });
  out.resize(std::min(out.size(), kMaxKeptPairs));
  return out;
}

size_t interference_model::Import(const std::vector<learned_pair>& in,
                                  int64_t now_unix_ms) {
  size_t taken = 0;
  for (const auto& at : in) {
    const double kept = KeptShare(at.age);
    const double evidence = std::min(at.evidence, kMaxEvidence) * kept;
    if (!(evidence >= 1) || !std::isfinite(at.weight)) {
      continue;  // As good as unknown.
    }
    auto& pair = EntryFor(at.best_effort_image, at.serving_image);
    if (pair.evidence * KeptShare(AgeAt(now_unix_ms, pair.learned_unix_ms)) >=
        evidence) {
      continue;
    }
    const double weight = std::clamp(at.weight, kMinWeight, kMaxWeight);
    pair = {initial_weight_ + (weight - initial_weight_) * kept, evidence, 0,
            now_unix_ms};
    ++taken;
  }
  Trim(now_unix_ms);
  return taken;
}

size_t interference_model::known_pairs() const {
  size_t out = 0;
  for (const auto& [serving, pairs] : pairs_) {
    for (const auto& [best_effort, pair] : pairs) {
      out += pair.evidence > 0 ? 1 : 0;
    }
  }
  return out;
}

interference_model::entry& interference_model::EntryFor(
    const std::string& best_effort,
    const std::string& serving) {
  const auto [at, added] = pairs_[serving].try_emplace(best_effort);
  if (added) {
    ++size_;
    at->second.weight = initial_weight_;
  }
  return at->second;
}

void interference_model::Trim(int64_t now_unix_ms) {
  if (size_ <= kMaxPairs) {
    return;
  }
  // More go than must, so that pairs that have just been met are not dropped
  // with each further one.
  constexpr size_t kLeft = kMaxPairs - kMaxPairs / 8;
  std::vector<std::tuple<double, std::string, std::string>> order;
  for (const auto& [serving, pairs] : pairs_) {
    for (const auto& [best_effort, pair] : pairs) {
      const auto age = AgeAt(now_unix_ms, pair.learned_unix_ms);
      order.emplace_back(pair.evidence * KeptShare(age), serving, best_effort);
    }
  }
  std::sort(order.begin(), order.end());
  order.resize(order.size() - kLeft);
  for (const auto& [evidence, serving, best_effort] : order) {
    const auto at = pairs_.find(serving);
    at->second.erase(best_effort);
    if (at->second.empty()) {
      pairs_.erase(at);
    }
  }
  size_ = kLeft;
}

}  // namespace chiveglade::workflow
