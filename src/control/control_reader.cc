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
    std::function<void()> changed) {
  if (!table.read || !table.scan || !table.commit || !objects.get || !clock) {
    return reason{"missing_hook", "control_reader needs all store hooks"};
  }
  return std::shared_ptr<control_reader>(new control_reader(
      std::move(options), std::move(table), std::move(objects),
      std::move(clock), std::move(changed)));
}

control_reader::control_reader(control_reader_options options,
                               store::table_service table,
                               store::object_store objects,
                               clock_fn clock,
                               std::function<void()> changed)
    : options_(std::move(options)),
      table_(std::move(table)),
      objects_(std::move(objects)),
      clock_(std::move(clock)),
      changed_(std::move(changed)),
      view_(std::make_shared<control_view>()) {}

void control_reader::Poll() {
  const auto now = clock_();
  Register(now);
  if (polling_) {
    return;
  }
  polling_ = true;
  failed_ = false;
  ScanDataCentres(now);
}

void control_reader::Register(boot_time now) {
  if (options_.self.name.empty() ||
      (registered_at_ && now - *registered_at_ < options_.register_interval)) {
    return;
  }
  registered_at_ = now;
  table_.commit({{},
                 {{kEntryPrefix + options_.self.name,
                   EncodeEntry(options_.self, ++registrations_)}}},
                [self = shared_from_this()](const store::commit_outcome& out) {
                  if (out.status != store::commit_status::kCommitted) {
                    self->registered_at_.reset();  // Tried at the next poll.
                  }
                });
}

void control_reader::ScanDataCentres(boot_time started) {
  table_.scan(kDataCentrePrefix, kMaxControlRows,
              [self = shared_from_this(),
               started](const result<std::vector<store::row>>& rows) {
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
                self->failed_ = self->failed_ || !rows;
                self->ScanEntries(started);
              });
}

void control_reader::ScanEntries(boot_time started) {
  table_.scan(
      kEntryPrefix, kMaxControlRows,
      [self = shared_from_this(),
       started](const result<std::vector<store::row>>& rows) {
        if (rows) {
          const auto live = self->LiveEntries(*rows, started);
          if (live != self->view()->entries) {
            self->Update([&live](control_view& view) { view.entries = live; });
          }
        }
        self->failed_ = self->failed_ || !rows;
        self->ReadPointer(started);
      });
}

std::vector<state::entry_address> control_reader::LiveEntries(
    const std::vector<store::row>& rows,
    boot_time now) {
  std::map<std::string, seen_row> seen;
  std::vector<state::entry_address> live;
  for (const auto& row : rows) {
    const auto before = seen_entries_.find(row.key);
    const bool same =
        before != seen_entries_.end() && before->second.version == row.version;
    const seen_row now_seen =
        same ? before->second : seen_row{row.version, now};
    seen[row.key] = now_seen;
    if (now - now_seen.changed_at < options_.entry_expiry) {
      if (auto entry = DecodeEntry(row)) {
        live.push_back(*std::move(entry));
      }
    }
  }
  seen_entries_ = std::move(seen);
  return live;
}

void control_reader::ReadPointer(boot_time started) {
  table_.read(kManifestPointerKey,
              [self = shared_from_this(),
               started](const result<std::optional<store::row>>& row) {
                if (row) {
                  self->OnPointer(*row, started);
                } else {
                  self->failed_ = true;
                  self->FinishRound(started);
                }
              });
}

void control_reader::OnPointer(const std::optional<store::row>& row,
                               boot_time started) {
  if (!row) {
    FinishRound(started);
    return;
  }
  const auto pointer = DecodePointer(row->value);
  if (!pointer) {
    failed_ = true;
    FinishRound(started);
    return;
  }
  const auto& newest = pointer->newest_first.front();
  if (newest.version > view()->published.version) {
    FetchManifest(newest, started);
  } else {
    FinishRound(started);
  }
}

void control_reader::FetchManifest(const publication& wanted,
                                   boot_time started) {
  objects_.get(ManifestObjectKey(wanted.hash),
               [self = shared_from_this(), wanted,
                started](const result<std::optional<std::string>>& body) {
                 const bool adopted = body && body->has_value() &&
                                      HashManifest(**body) == wanted.hash &&
                                      self->Adopt(wanted, **body).has_value();
                 self->failed_ = self->failed_ || !adopted;
                 self->FinishRound(started);
               });
}

void control_reader::FinishRound(boot_time started) {
  polling_ = false;
  if (!failed_) {
    const std::lock_guard lock(mutex_);
    confirmed_at_ = started;
  }
}

result<done> control_reader::Adopt(const publication& published,
                                   const std::string& text) {
  auto parsed = config::ParseManifest(text, "manifest/" + published.hash);
  if (!parsed.value) {
    return reason{"bad_manifest", config::ToString(parsed.problems.front())};
  }
  if (published.version <= view()->published.version) {
    return reason{"older_manifest", "a newer version is in effect"};
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
  if (changed_) {
    changed_();
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
