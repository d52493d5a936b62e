#include "chiveglade/control/control_reader.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace chiveglade::control {

namespace {

using nlohmann::json;

constexpr char kDataCentrePrefix[] = "dc/";
constexpr char kEntryPrefix[] = "entry/";
constexpr size_t kMaxControlRows = 1'000;

std::string EncodeEntry(const state::entry_address& self, uint64_t counter) {
  return json{{"data_centre", self.data_centre},
              {"address", self.address},
              {"counter", counter}}
      .dump();
}

std::optional<state::entry_address> DecodeEntry(const store::row& row) {
  const auto value = json::parse(row.value, nullptr, false);
  if (!value.is_object() || !value.contains("address") ||
      !value["address"].is_string() || !value.contains("data_centre") ||
      !value["data_centre"].is_string()) {
    return std::nullopt;
  }
  return state::entry_address{row.key.substr(sizeof(kEntryPrefix) - 1),
                              value["data_centre"].get<std::string>(),
                              value["address"].get<std::string>()};
}

}  // namespace

result<std::shared_ptr<control_reader>> control_reader::Make(
    control_reader_options options,
    store::table_service table,
    store::object_store objects,
    clock_fn clock,
    std::function<void()> on_change) {
  if (!table.read || !table.scan || !table.commit || !objects.get || !clock) {
    return reason{"missing_hook",
                  "a required hook of the control reader is not set"};
  }
  return std::shared_ptr<control_reader>(new control_reader(
      std::move(options), std::move(table), std::move(objects),
      std::move(clock), std::move(on_change)));
}

control_reader::control_reader(control_reader_options options,
                               store::table_service table,
                               store::object_store objects,
                               clock_fn clock,
                               std::function<void()> on_change)
    : options_(std::move(options)),
      table_(std::move(table)),
      objects_(std::move(objects)),
      clock_(std::move(clock)),
      on_change_(std::move(on_change)),
      view_(std::make_shared<control_view>()) {}

void control_reader::Poll() {
  const auto now = clock_();
  WriteOwnEntry(now);
  if (round_running_) {
    return;
  }
  round_running_ = true;
  round_failed_ = false;
  ScanDataCentres(now);
}

void control_reader::WriteOwnEntry(boot_time now) {
  if (options_.self.name.empty() ||
      (entry_written_at_ &&
       now - *entry_written_at_ < options_.register_interval)) {
    return;
  }
  entry_written_at_ = now;
  table_.commit(
      {{},
       {{kEntryPrefix + options_.self.name,
         EncodeEntry(options_.self, ++entry_writes_)}}},
      [self = shared_from_this()](const store::commit_outcome& out) {
        if (out.status != store::commit_status::kCommitted) {
          self->entry_written_at_.reset();  // The next Poll() retries.
        }
      });
}

void control_reader::ScanDataCentres(boot_time round_start) {
  table_.scan(kDataCentrePrefix, kMaxControlRows,
              [self = shared_from_this(),
               round_start](const result<std::vector<store::row>>& rows) {
                if (rows) {
                  std::map<std::string, store::row> found;
                  for (const auto& row : *rows) {
                    found[row.key.substr(sizeof(kDataCentrePrefix) - 1)] = row;
                  }
                  if (found != self->view()->data_centres) {
                    self->Update([&found](control_view& view) {
                      view.data_centres = found;
                    });
                  }
                }
                self->round_failed_ = self->round_failed_ || !rows;
                self->ScanEntries(round_start);
              });
}

void control_reader::ScanEntries(boot_time round_start) {
  table_.scan(
      kEntryPrefix, kMaxControlRows,
      [self = shared_from_this(),
       round_start](const result<std::vector<store::row>>& rows) {
        if (rows) {
          const auto live = self->LiveEntries(*rows, round_start);
          if (live != self->view()->entries) {
            self->Update([&live](control_view& view) { view.entries = live; });
          }
        }
        self->round_failed_ = self->round_failed_ || !rows;
        self->ReadPointer(round_start);
      });
}

std::vector<state::entry_address> control_reader::LiveEntries(
    const std::vector<store::row>& rows,
    boot_time now) {
  std::map<std::string, observed_version> seen;
  std::vector<state::entry_address> live;
  for (const auto& row : rows) {
    const auto before = observed_entries_.find(row.key);
    const bool same = before != observed_entries_.end() &&
                      before->second.version == row.version;
    const observed_version now_seen =
        same ? before->second : observed_version{row.version, now};
    seen[row.key] = now_seen;
    if (now - now_seen.changed_at < options_.entry_expiry) {
      if (auto entry = DecodeEntry(row)) {
        live.push_back(*std::move(entry));
      }
    }
  }
  observed_entries_ = std::move(seen);
  return live;
}

void control_reader::ReadPointer(boot_time round_start) {
  table_.read(kManifestPointerKey,
              [self = shared_from_this(),
               round_start](const result<std::optional<store::row>>& row) {
                if (row) {
                  self->OnPointerRead(*row, round_start);
                } else {
                  self->round_failed_ = true;
                  self->FinishRound(round_start);
                }
              });
}

void control_reader::OnPointerRead(const std::optional<store::row>& row,
                                   boot_time round_start) {
  if (!row) {
    FinishRound(round_start);
    return;
  }
  const auto pointer = DecodePointer(row->value);
  if (!pointer) {
    round_failed_ = true;
    FinishRound(round_start);
    return;
  }
  const auto& newest = pointer->newest_first.front();
  if (newest.version > view()->published.version) {
    FetchManifest(newest, round_start);
  } else {
    FinishRound(round_start);
  }
}

void control_reader::FetchManifest(const publication& wanted,
                                   boot_time round_start) {
  objects_.get(ManifestObjectKey(wanted.hash),
               [self = shared_from_this(), wanted,
                round_start](const result<std::optional<std::string>>& body) {
                 const bool adopted = body && body->has_value() &&
                                      HashManifest(**body) == wanted.hash &&
                                      self->Adopt(wanted, **body).has_value();
                 self->round_failed_ = self->round_failed_ || !adopted;
                 self->FinishRound(round_start);
               });
}

void control_reader::FinishRound(boot_time round_start) {
  round_running_ = false;
  if (!round_failed_) {
    const std::lock_guard lock(mutex_);
    confirmed_at_ = round_start;
  }
}

result<done> control_reader::Adopt(const publication& published,
                                   const std::string& text) {
  auto parsed = config::ParseManifest(text, "manifest/" + published.hash);
  if (!parsed.value) {
    return reason{"bad_manifest", config::ToString(parsed.problems.front())};
  }
  if (published.version <= view()->published.version) {
    return reason{"older_manifest", "this version or a newer one is in effect"};
  }
  Update([&](control_view& view) {
    view.published = published;
    view.manifest =
        std::make_shared<const config::manifest>(*std::move(parsed.value));
    view.manifest_text = std::make_shared<const std::string>(text);
  });
  return done{};
}

result<done> control_reader::AdoptFromPeer(uint64_t version,
                                           const std::string& text) {
  return Adopt({version, HashManifest(text), "", ""}, text);
}

void control_reader::Update(const std::function<void(control_view&)>& change) {
  auto next = std::make_shared<control_view>(*view());
  change(*next);
  {
    const std::lock_guard lock(mutex_);
    view_ = std::move(next);
  }
  if (on_change_) {
    on_change_();
  }
}

std::shared_ptr<const control_view> control_reader::view() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

std::optional<boot_time> control_reader::confirmed_at() const {
  const std::lock_guard lock(mutex_);
  return confirmed_at_;
}

bool control_reader::ready() const {
  const std::lock_guard lock(mutex_);
  return confirmed_at_.has_value() || view_->published.version > 0;
}

}  // namespace chiveglade::control
