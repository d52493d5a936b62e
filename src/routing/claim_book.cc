#include "chiveglade/routing/claim_book.h"

#include <algorithm>
#include <utility>

namespace chiveglade::routing {

namespace {

// Abandoned claims that are remembered. At 40 claims a second this covers an
// outage of the store in which nearly two minutes of requests were refused.
constexpr size_t kMaxAbandoned = 4'096;

// Rows of one scan of a sweep. A prefix with more rows is split.
constexpr size_t kSweepRows = 256;

}  // namespace

struct claim_book::claim_operation {
  claim_request request;
  claim_callback then;
  claim mine;
  uint32_t writes = 0;
  uint32_t reads = 0;
  bool seen_foreign = false;  // another request's claim was read
};

std::shared_ptr<claim_book> claim_book::Make(claim_options options,
                                             claim_hooks hooks) {
  return std::shared_ptr<claim_book>(
      new claim_book(std::move(options), std::move(hooks)));
}

claim_book::claim_book(claim_options options, claim_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

void claim_book::Claim(claim_request request, claim_callback then) {
  auto op = std::make_shared<claim_operation>();
  op->mine.key = ClaimKey(request.tenant, request.idempotency_key);
  op->mine.value = {request.fingerprint, options_.entry, hooks_.random(),
                    hooks_.unix_ms(), std::nullopt};
  op->request = std::move(request);
  op->then = std::move(then);
  WriteClaim(op, 0);
}

void claim_book::WriteClaim(const operation_ptr& op, uint64_t over_version) {
  ++op->writes;
  hooks_.table.commit(
      {{{op->mine.key, over_version}},
       {{op->mine.key, EncodeClaim(op->mine.value)}}},
      [self = shared_from_this(), op](const store::commit_outcome& outcome) {
        switch (outcome.status) {
          case store::commit_status::kCommitted:
            op->mine.version = outcome.version;
            op->then({claim_status::kClaimed, op->mine, {}});
            return;
          case store::commit_status::kNotApplied:
            self->GiveUp(op);
            return;
          case store::commit_status::kConflict:
          case store::commit_status::kUnknown:
            self->ReadClaim(op);
            return;
        }
      });
}

void claim_book::ReadClaim(const operation_ptr& op) {
  ++op->reads;
  hooks_.table.read(op->mine.key, [self = shared_from_this(), op](
                                      result<std::optional<store::row>> found) {
    if (found && found->has_value()) {
      self->OnRow(op, **found);
    } else {
      // Without a row the write may still arrive; the same transaction is
      // sent again, and only one of the copies can meet its condition.
      self->TryAgain(op);
    }
  });
}

void claim_book::OnRow(const operation_ptr& op, const store::row& found) {
  const auto value = DecodeClaim(found.value);
  if (!value) {
    op->then({claim_status::kMayHaveRun, {}, {}});
    return;
  }
  if (value->nonce == op->mine.value.nonce) {
    op->mine.version = found.version;
    op->then({claim_status::kClaimed, op->mine, {}});
    return;
  }
  if (!value->answer && IsAbandoned(value->nonce) &&
      op->writes < options_.tries) {
    WriteClaim(op, found.version);
    return;
  }
  if (value->fingerprint != op->request.fingerprint) {
    op->then({claim_status::kMismatch, {}, {}});
    return;
  }
  if (value->answer) {
    op->then({claim_status::kAnswered, {}, *value->answer});
    return;
  }
  op->seen_foreign = true;
  const millis wait = WaitAfter(op->reads);
  if (hooks_.clock() + wait >= op->request.deadline) {
    op->then({claim_status::kMayHaveRun, {}, {}});
    return;
  }
  hooks_.after(wait, [self = shared_from_this(), op] { self->ReadClaim(op); });
}

void claim_book::TryAgain(const operation_ptr& op) {
  const millis wait = WaitAfter(op->writes);
  if (op->writes >= options_.tries ||
      hooks_.clock() + wait >= op->request.deadline) {
    GiveUp(op);
    return;
  }
  hooks_.after(wait,
               [self = shared_from_this(), op] { self->WriteClaim(op, 0); });
}

void claim_book::GiveUp(const operation_ptr& op) {
  Abandon(op->mine.value.nonce);
  // Once another claim of the key was seen, the first request may have run,
  // even if this one did not.
  op->then({op->seen_foreign ? claim_status::kMayHaveRun
                             : claim_status::kUnavailable,
            {},
            {}});
}

void claim_book::Settle(const claim& held,
                        stored_answer answer,
                        const done_callback& then) {
  if (answer.body.size() > options_.max_answer_bytes) {
    answer.body.clear();
    answer.whole = false;
  }
  claim_value value = held.value;
  value.answer = std::move(answer);
  Replace(held, EncodeClaim(value), 1, then);
}

void claim_book::Release(const claim& held, const done_callback& then) {
  Abandon(held.value.nonce);
  Replace(held, std::nullopt, 1, then);
}

void claim_book::Replace(const claim& held,
                         std::optional<std::string> value,
                         uint32_t tries,
                         const done_callback& then) {
  hooks_.table.commit(
      {{{held.key, held.version}}, {{held.key, value}}},
      [self = shared_from_this(), held, value, tries,
       then](const store::commit_outcome& outcome) {
        if (outcome.status == store::commit_status::kCommitted) {
          then(done{});
          return;
        }
        if (outcome.status == store::commit_status::kConflict) {
          self->ConfirmReplaced(held, value, then);
          return;
        }
        if (tries >= self->options_.tries) {
          then(outcome.why);
          return;
        }
        self->hooks_.after(self->WaitAfter(tries),
                           [self, held, value, tries, then] {
                             self->Replace(held, value, tries + 1, then);
                           });
      });
}

void claim_book::ConfirmReplaced(const claim& held,
                                 const std::optional<std::string>& value,
                                 const done_callback& then) {
  hooks_.table.read(
      held.key, [value, then](const result<std::optional<store::row>>& found) {
        if (!found) {
          then(found.last_reason());
          return;
        }
        const bool same = found->has_value()
                              ? value && (*found)->value == *value
                              : !value.has_value();
        if (same) {
          then(done{});
        } else {
          then(reason{"claim_lost", "the claim was changed by another entry"});
        }
      });
}

millis claim_book::WaitAfter(uint32_t tries) const {
  const uint32_t doublings = std::min<uint32_t>(tries == 0 ? 0 : tries - 1, 10);
  return std::min(options_.first_wait * (1 << doublings),
                  options_.longest_wait);
}

void claim_book::Abandon(uint64_t nonce) {
  const std::lock_guard lock(mutex_);
  if (!abandoned_.insert(nonce).second) {
    return;
  }
  abandoned_order_.push_back(nonce);
  if (abandoned_order_.size() > kMaxAbandoned) {
    abandoned_.erase(abandoned_order_.front());
    abandoned_order_.pop_front();
  }
}

bool claim_book::IsAbandoned(uint64_t nonce) const {
  const std::lock_guard lock(mutex_);
  return abandoned_.count(nonce) != 0;
}

void claim_book::Sweep(const std::vector<std::string>& tenants,
                       size_t max_rows,
                       std::function<void(size_t)> then) {
  std::string prefix;
  {
    const std::lock_guard lock(mutex_);
    if (!sweeping_ && sweep_prefixes_.empty()) {
      for (const auto& tenant : tenants) {
        sweep_prefixes_.push_back("claim/" + tenant + "/");
      }
    }
    if (!sweeping_ && !sweep_prefixes_.empty()) {
      sweeping_ = true;
      prefix = sweep_prefixes_.back();
    }
  }
  if (prefix.empty()) {
    then(0);
    return;
  }
  hooks_.table.scan(
      prefix, kSweepRows,
      [self = shared_from_this(), prefix, max_rows,
       then = std::move(then)](result<std::vector<store::row>> rows) {
        if (rows && rows->size() == kSweepRows) {
          // The hash that follows the tenant is hexadecimal.
          const std::lock_guard lock(self->mutex_);
          self->sweep_prefixes_.pop_back();
          for (const char digit : std::string("0123456789abcdef")) {
            self->sweep_prefixes_.push_back(prefix + digit);
          }
        }
        self->DeleteExpired(rows ? *rows : std::vector<store::row>(), max_rows,
                            then);
      });
}

void claim_book::DeleteExpired(const std::vector<store::row>& rows,
                               size_t max_rows,
                               const std::function<void(size_t)>& then) {
  const int64_t oldest = hooks_.unix_ms() - options_.lifetime.count();
  store::transaction change;
  bool more = rows.size() == kSweepRows;
  for (const auto& row : rows) {
    const auto value = DecodeClaim(row.value);
    if (!value || value->unix_ms > oldest) {
      continue;
    }
    if (change.mutations.size() == max_rows) {
      more = true;
      break;
    }
    change.conditions.push_back({row.key, row.version});
    change.mutations.push_back({row.key, std::nullopt});
  }
  {
    const std::lock_guard lock(mutex_);
    sweeping_ = false;
    if (!more) {
      sweep_prefixes_.pop_back();
    }
  }
  if (change.mutations.empty()) {
    then(0);
    return;
  }
  const size_t count = change.mutations.size();
  hooks_.table.commit(
      std::move(change), [then, count](const store::commit_outcome& outcome) {
        // What was not deleted now is found again by a later sweep.
        then(outcome.status == store::commit_status::kCommitted ? count : 0);
      });
}

}  // namespace chiveglade::routing
