#include "tests/support/memory_store.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace chiveglade::testing {

namespace {

const reason kLost{"store_answer_lost", "no answer from the store"};
const reason kRefused{"store_refused", "refused by the store"};

}  // namespace

void memory_store::Dispatch(
    const std::string& call,
    const std::string& key,
    const std::function<void(bool lose_answer)>& execute,
    const std::function<void()>& lost,
    const std::function<void()>& refused) {
  switch (faults_ ? faults_(call, key) : store_fault::kNone) {
    case store_fault::kNone:
      execute(false);
      return;
    case store_fault::kRefuse:
      refused();
      return;
    case store_fault::kLoseRequest:
      lost();
      return;
    case store_fault::kLoseAnswer:
      execute(true);
      return;
    case store_fault::kHold:
      held_.push_back({[execute] { execute(false); }, lost});
      return;
    case store_fault::kDelay:
      held_.push_back({[execute] { execute(true); }, [] {}});
      lost();
      return;
  }
}

store::table_service memory_store::table() {
  store::table_service out;
  out.read = [this](const std::string& key, const store::read_callback& then) {
    Dispatch(
        "read", key,
        [this, key, then](bool lose) {
          ++reads_;
          lose ? then(kLost) : then(Read(key));
        },
        [then] { then(kLost); }, [then] { then(kRefused); });
  };
  out.scan = [this](const std::string& prefix, size_t limit,
                    const store::scan_callback& then) {
    Dispatch(
        "scan", prefix,
        [this, prefix, limit, then](bool lose) {
          ++reads_;
          lose ? then(kLost) : then(Scan(prefix, limit));
        },
        [then] { then(kLost); }, [then] { then(kRefused); });
  };
  out.page = [this](const std::string& prefix, const std::string& after,
                    size_t limit, const store::page_callback& then) {
    Dispatch(
        "page", prefix,
        [this, prefix, after, limit, then](bool lose) {
          ++reads_;
          lose ? then(kLost) : then(Page(prefix, after, limit));
        },
        [then] { then(kLost); }, [then] { then(kRefused); });
  };
  // Answers at once, also without changes.
  out.watch = [this](const std::string& prefix, uint64_t version, millis,
                     const store::watch_callback& then) {
    Dispatch(
        "watch", prefix,
        [this, prefix, version, then](bool lose) {
          ++reads_;
          lose ? then(kLost) : then(Changes(prefix, version));
        },
        [then] { then(kLost); }, [then] { then(kRefused); });
  };
  out.commit = [this](const store::transaction& change,
                      const store::commit_callback& callback) {
    // A delayed call has been answered when it takes effect.
    const auto then = [callback, answered = std::make_shared<bool>(false)](
                          const store::commit_outcome& outcome) {
      if (!std::exchange(*answered, true)) {
        callback(outcome);
      }
    };
    const std::string key =
        change.mutations.empty() ? std::string() : change.mutations[0].key;
    Dispatch(
        "commit", key,
        [this, change, then](bool lose) {
          auto outcome = Commit(change);
          if (lose) {
            outcome = {store::commit_status::kUnknown, 0, "", kLost};
          }
          then(outcome);
        },
        [then] {
          then({store::commit_status::kUnknown, 0, "", kLost});
        },
        [then] {
          then({store::commit_status::kNotApplied, 0, "", kRefused});
        });
  };
  return out;
}

store::object_store memory_store::objects() {
  store::object_store out;
  out.put = [this](const std::string& key, const std::string& bytes,
                   const store::put_callback& then) {
    Dispatch(
        "put", key,
        [this, key, bytes, then](bool lose) {
          objects_[key] = bytes;
          lose ? then(kLost) : then(done{});
        },
        [then] { then(kLost); }, [then] { then(kRefused); });
  };
  out.get = [this](const std::string& key, const store::get_callback& then) {
    Dispatch(
        "get", key,
        [this, key, then](bool lose) {
          if (lose) {
            then(kLost);
            return;
          }
          const auto at = objects_.find(key);
          then(at == objects_.end() ? std::optional<std::string>()
                                    : std::optional<std::string>(at->second));
        },
        [then] { then(kLost); }, [then] { then(kRefused); });
  };
  return out;
}

void memory_store::ReleaseHeld() {
  const auto calls = std::exchange(held_, {});
  for (const auto& call : calls) {
    call.run();
  }
}

void memory_store::DropHeld() {
  const auto calls = std::exchange(held_, {});
  for (const auto& call : calls) {
    call.drop();
  }
}

bool memory_store::IsWithinLimits(const store::transaction& change) const {
  size_t value_bytes = 0;
  for (const auto& mutation : change.mutations) {
    const size_t bytes = mutation.value ? mutation.value->size() : 0;
    if (bytes > limits_.row_bytes) {
      return false;
    }
    value_bytes += bytes;
  }
  return value_bytes <= limits_.value_bytes &&
         change.conditions.size() + change.mutations.size() <= limits_.entries;
}

store::commit_outcome memory_store::Commit(const store::transaction& change) {
  if (!IsWithinLimits(change)) {
    return {store::commit_status::kNotApplied, 0, "", kRefused};
  }
  for (const auto& [key, version] : change.conditions) {
    const auto at = rows_.find(key);
    if ((at == rows_.end() ? 0 : at->second.version) != version) {
      return {store::commit_status::kConflict, 0, key, {}};
    }
  }
  ++last_version_;
  ++commits_;
  for (const auto& [key, value] : change.mutations) {
    ++rows_written_;
    if (value) {
      rows_[key] = {key, *value, last_version_};
    } else {
      rows_.erase(key);
    }
    history_.push_back({{key, value.value_or(""), last_version_}, !value});
  }
  return {store::commit_status::kCommitted, last_version_, "", {}};
}

std::optional<store::row> memory_store::Read(const std::string& key) const {
  const auto at = rows_.find(key);
  return at == rows_.end() ? std::nullopt : std::optional(at->second);
}

std::vector<store::row> memory_store::Scan(const std::string& prefix,
                                           size_t limit) const {
  std::vector<store::row> out;
  for (auto at = rows_.lower_bound(prefix);
       at != rows_.end() && out.size() < limit &&
       at->first.compare(0, prefix.size(), prefix) == 0;
       ++at) {
    out.push_back(at->second);
  }
  return out;
}

store::row_page memory_store::Page(const std::string& prefix,
                                   const std::string& after,
                                   size_t limit) const {
  store::row_page out;
  out.version = last_version_;
  for (auto& row : Scan(prefix, rows_.size())) {
    if (row.key > after) {
      if (out.rows.size() == std::min(limit, page_rows_)) {
        out.more = true;
        break;
      }
      out.rows.push_back(std::move(row));
    }
  }
  return out;
}

store::row_changes memory_store::Changes(const std::string& prefix,
                                         uint64_t version) const {
  store::row_changes out;
  out.version = last_version_;
  if (version + 1 < oldest_history_) {
    out.history_lost = true;
    return out;
  }
  for (const auto& change : history_) {
    if (change.now.version > version && change.now.key.starts_with(prefix)) {
      out.rows.push_back(change);
    }
  }
  return out;
}

}  // namespace chiveglade::testing
