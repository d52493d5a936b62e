#include "settings_freshness.h"

#include <string>
#include <utility>

namespace chiveglade::app {

settings_freshness::settings_freshness(millis max_age,
                                       observe::metrics& metrics,
                                       hooks hooks)
    : max_age_(max_age), metrics_(metrics), hooks_(std::move(hooks)) {}

bool settings_freshness::IsCurrent(const operator_view& view) const {
  return view.AgeAt(hooks_.clock()) <= max_age_;
}

void settings_freshness::Report() {
  const auto view = hooks_.operators();
  if (!view.state->catalogue) {
    return;
  }
  const auto age = view.AgeAt(hooks_.clock());
  metrics_.Observe("chiveglade_operator_settings_age_seconds", {},
                   std::chrono::duration<double>(age).count());
  const bool is_current = age <= max_age_;
  if (is_current != std::exchange(logged_current_, is_current)) {
    observe::log_fields fields = {
        {"version", std::to_string(view.state->catalogue->version)},
        {"age_ms", std::to_string(age.count())}};
    if (worst_ > millis(0)) {
      fields.emplace_back("worst_ms", std::to_string(worst_.count()));
    }
    hooks_.log(is_current ? "settings_current" : "settings_outdated", fields);
  }
  worst_ = is_current ? millis(0) : age;
}

}  // namespace chiveglade::app
