#include "chiveglade/control/manifest_publisher.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace chiveglade::control {

namespace {

using store::commit_status;

// Commits and failed reads of the pointer row before the outcome is reported as
// kUnknown.
constexpr int kMaxPublishTries = 4;

// One call of PublishManifest; keeps itself alive through its callbacks.
class publish_call : public std::enable_shared_from_this<publish_call> {
 public:
  publish_call(store::table_service table,
               store::object_store objects,
               publish_request request,
               std::function<void(publish_outcome)> then)
      : table_(std::move(table)),
        objects_(std::move(objects)),
        request_(std::move(request)),
        then_(std::move(then)),
        hash_(HashManifest(request_.text)) {}

  void Start() {
    objects_.put(ManifestObjectKey(hash_), request_.text,
                 [self = shared_from_this()](const result<done>& put) {
                   if (put) {
                     self->ReadPointer();
                   } else {
                     self->Finish(publish_status::kNotAccepted, {},
                                  put.last_reason());
                   }
                 });
  }

 private:
  void Finish(publish_status status, publication current, reason why) {
    then_({status, std::move(current), std::move(why)});
  }

  void ReadPointer() {
    table_.read(kManifestPointerKey,
                [self = shared_from_this()](
                    const result<std::optional<store::row>>& read) {
                  if (read) {
                    self->OnPointerRead(*read);
                  } else {
                    self->OnReadFailed(read.last_reason());
                  }
                });
  }

  void OnReadFailed(const reason& why) {
    if (++tries_ < kMaxPublishTries && commit_sent_) {
      ReadPointer();
      return;
    }
    Finish(
        commit_sent_ ? publish_status::kUnknown : publish_status::kNotAccepted,
        {}, why);
  }

  void OnPointerRead(const std::optional<store::row>& row) {
    manifest_pointer pointer;
    if (row) {
      auto decoded = DecodePointer(row->value);
      if (!decoded) {
        Finish(publish_status::kNotAccepted, {}, decoded.last_reason());
        return;
      }
      pointer = *std::move(decoded);
    }
    const auto& list = pointer.newest_first;
    const auto own = std::find_if(
        list.begin(), list.end(),
        [this](const publication& p) { return p.nonce == request_.nonce; });
    if (own != list.end()) {
      Finish(publish_status::kAccepted, *own, {});
      return;
    }
    const publication current = list.empty() ? publication{} : list.front();
    if (current.hash == hash_) {
      Finish(publish_status::kAccepted, current, {});
      return;
    }
    if (current.version != request_.expected_version) {
      Finish(publish_status::kConflict, current,
             {"version_conflict", "version " + std::to_string(current.version) +
                                      " is in effect, published by " +
                                      current.by});
      return;
    }
    Commit(std::move(pointer), row ? row->version : 0);
  }

  void Commit(manifest_pointer pointer, uint64_t row_version) {
    auto& list = pointer.newest_first;
    const publication own{request_.expected_version + 1, hash_, request_.by,
                          request_.nonce};
    list.insert(list.begin(), own);
    list.resize(std::min(list.size(), kMaxKeptPublications));
    commit_sent_ = true;
    table_.commit(
        {{{kManifestPointerKey, row_version}},
         {{kManifestPointerKey, EncodePointer(pointer)}}},
        [self = shared_from_this(), own](const store::commit_outcome& outcome) {
          self->OnCommit(outcome, own);
        });
  }

  void OnCommit(const store::commit_outcome& outcome, const publication& own) {
    if (outcome.status == commit_status::kCommitted) {
      Finish(publish_status::kAccepted, own, {});
      return;
    }
    if (outcome.status == commit_status::kNotApplied && !had_unknown_outcome_) {
      Finish(publish_status::kNotAccepted, {}, outcome.why);
      return;
    }
    had_unknown_outcome_ =
        had_unknown_outcome_ || outcome.status == commit_status::kUnknown;
    if (++tries_ >= kMaxPublishTries) {
      Finish(publish_status::kUnknown, {}, outcome.why);
      return;
    }
    // After a conflict or a lost answer the row shows what happened. An earlier
    // copy that is applied late is harmless: both carry the same condition.
    ReadPointer();
  }

  const store::table_service table_;
  const store::object_store objects_;
  const publish_request request_;
  const std::function<void(publish_outcome)> then_;
  const std::string hash_;
  int tries_ = 0;
  bool commit_sent_ = false;
  bool had_unknown_outcome_ = false;
};

}  // namespace

void PublishManifest(const store::table_service& table,
                     const store::object_store& objects,
                     const publish_request& request,
                     std::function<void(publish_outcome)> then) {
  std::make_shared<publish_call>(table, objects, request, std::move(then))
      ->Start();
}

}  // namespace chiveglade::control
