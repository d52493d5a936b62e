#include "operator_feed.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "platform/operator_rows.h"

namespace chiveglade::app {

result<std::unique_ptr<operator_feed>> operator_feed::Make(
    operator_feed_options options,
    hooks hooks) {
  std::unique_ptr<operator_feed> out(
      new operator_feed(options, std::move(hooks)));
  auto table = out->hooks_.make_table(out->loop_, out->on_);
  if (!table) {
    return table.last_reason();
  }
  out->table_ = *std::move(table);
  return out;
}

operator_feed::operator_feed(operator_feed_options options, hooks hooks)
    : options_(options), hooks_(std::move(hooks)) {}

operator_feed::~operator_feed() {
  loop_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void operator_feed::Start() {
  net::asio::post(on_, [this] { Follow(); });
  thread_ = std::thread([this] {
    const auto work = net::asio::make_work_guard(loop_);
    loop_.run();
  });
}

operator_view operator_feed::newest() const {
  const std::lock_guard lock(mutex_);
  return newest_;
}

void operator_feed::Follow() {
  store::follower_options options;
  options.prefix = platform::kOperatorPrefix;
  options.wait = options_.watch_wait;
  options.rescan_if_behind = true;
  store::table_follower::hooks to;
  to.table = table_;
  to.after = [this](millis wait, const std::function<void()>& then) {
    auto timer = std::make_shared<net::asio::steady_timer>(on_, wait);
    timer->async_wait(
        [timer, then](const boost::system::error_code&) { then(); });
  };
  to.scanned = [this](const std::vector<store::row>& rows) { OnRows(rows); };
  to.changed = [this](const std::vector<store::row_change>& changes) {
    OnChanges(changes);
  };
  to.confirmed = [this](boot_time as_of) { Confirm(as_of); };
  to.clock = hooks_.clock;
  to.lost = [this](const reason& why) {
    hooks_.log("store_lost", {{"reason", why.code}, {"detail", why.detail}});
  };
  to.regained = [this] { hooks_.log("store_regained", {}); };
  follower_ = store::table_follower::Make(options, std::move(to));
}

void operator_feed::OnRows(const std::vector<store::row>& rows) {
  operator_state next;
  next.catalogue = newest().state->catalogue;
  for (const auto& row : rows) {
    if (const auto name = platform::EvacuatedDataCentre(row.key)) {
      next.out_of_service.insert(*name);
    }
    Adopt(row, next);
  }
  Publish(std::move(next));
}

void operator_feed::OnChanges(const std::vector<store::row_change>& changes) {
  operator_state next = *newest().state;
  for (const auto& change : changes) {
    if (const auto name = platform::EvacuatedDataCentre(change.now.key)) {
      if (change.removed) {
        next.out_of_service.erase(*name);
      } else {
        next.out_of_service.insert(*name);
      }
      hooks_.log("data_centre_changed",
                 {{"data_centre", *name},
                  {"in_service", change.removed ? "yes" : "no"},
                  {"version", std::to_string(change.now.version)}});
    } else if (!change.removed) {
      Adopt(change.now, next);
    }
  }
  Publish(std::move(next));
}

void operator_feed::Adopt(const store::row& row, operator_state& state) {
  if (row.key != platform::kCatalogueKey) {
    return;
  }
  auto in = platform::DecodeCatalogue(row.value);
  if (!in) {
    hooks_.log("catalogue_unreadable", {{"reason", in.last_reason().detail}});
    return;
  }
  if (state.catalogue && in->version <= state.catalogue->version) {
    return;
  }
  hooks_.log("catalogue_adopted",
             {{"version", std::to_string(in->version)},
              {"queues", std::to_string(in->queues.size())}});
  state.catalogue = std::make_shared<const workflow::catalogue>(*std::move(in));
}

void operator_feed::Publish(operator_state state) {
  auto next = std::make_shared<const operator_state>(std::move(state));
  {
    const std::lock_guard lock(mutex_);
    newest_.state = std::move(next);
  }
  hooks_.changed();
}

void operator_feed::Confirm(boot_time as_of) {
  const std::lock_guard lock(mutex_);
  newest_.as_of = as_of;
}

}  // namespace chiveglade::app
