#include "chiveglade/routing/claim_table.h"

#include <algorithm>
#include <utility>

namespace chiveglade::routing {

namespace {

// Abandoned claims kept in memory. At 40 claims a second, this covers an outage
// of the store of nearly two minutes, during which requests were refused.
constexpr size_t kMaxAbandonedClaims = 4'096;

// Row limit of one scan of a sweep. A prefix with more rows is split.
constexpr size_t kSweepScanRows = 256;

}  // namespace

struct claim_table::claim_operation {
  claim_request request;
  claim_callback then;
  claim own_claim;
  uint32_t writes = 0;
  uint32_t reads = 0;
  bool saw_other_claim = false;  // another request's claim was read
};

std::shared_ptr<claim_table> claim_table::Make(claim_options options,
                                               claim_hooks hooks) {
  return std::shared_ptr<claim_table>(
      new claim_table(std::move(options), std::move(hooks)));
}

claim_table::claim_table(claim_options options, claim_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

void claim_table::Claim(claim_request request, claim_callback then) {
  auto op = std::make_shared<claim_operation>();
  op->own_claim.key = ClaimKey(request.workspace, request.idempotency_key);
  op->own_claim.value = {request.fingerprint, options_.entry, hooks_.random(),
                         hooks_.unix_ms(), std::nullopt};
  op->request = std::move(request);
  op->then = std::move(then);
  WriteClaim(op, 0);
}

void claim_table::WriteClaim(const operation_ptr& op, uint64_t over_version) {
  ++op->writes;
  hooks_.table.commit(
      {{{op->own_claim.key, over_version}},
       {{op->own_claim.key, EncodeClaim(op->own_claim.value)}}},
      [self = shared_from_this(), op](const store::commit_outcome& outcome) {
        switch (outcome.status) {
          case store::commit_status::kCommitted:
            op->own_claim.version = outcome.version;
            op->then({claim_status::kClaimed, op->own_claim, {}});
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

void claim_table::ReadClaim(const operation_ptr& op) {
  ++op->reads;
  hooks_.table.read(
      op->own_claim.key,
      [self = shared_from_this(), op](result<std::optional<store::row>> found) {
        if (found && found->has_value()) {
          self->HandleRow(op, **found);
        } else {
          // The write may still be in flight. Sending the same transaction
          // again is safe: only one copy can satisfy its condition.
          self->RetryWrite(op);
        }
      });
}

void claim_table::HandleRow(const operation_ptr& op, const store::row& found) {
  const auto value = DecodeClaim(found.value);
  if (!value) {
    op->then({claim_status::kMayHaveRun, {}, {}});
    return;
  }
  if (value->nonce == op->own_claim.value.nonce) {
    op->own_claim.version = found.version;
    op->then({claim_status::kClaimed, op->own_claim, {}});
    return;
  }
  if (!value->response && IsAbandoned(value->nonce) &&
      op->writes < options_.max_writes) {
    WriteClaim(op, found.version);
    return;
  }
  if (value->fingerprint != op->request.fingerprint) {
    op->then({claim_status::kMismatch, {}, {}});
    return;
  }
  if (value->response) {
    op->then({claim_status::kHasResponse, {}, *value->response});
    return;
  }
  op->saw_other_claim = true;
  const millis delay = BackoffAfter(op->reads);
  if (hooks_.clock() + delay >= op->request.deadline) {
    op->then({claim_status::kMayHaveRun, {}, {}});
    return;
  }
  hooks_.after(delay, [self = shared_from_this(), op] { self->ReadClaim(op); });
}

void claim_table::RetryWrite(const operation_ptr& op) {
  const millis delay = BackoffAfter(op->writes);
  if (op->writes >= options_.max_writes ||
      hooks_.clock() + delay >= op->request.deadline) {
    GiveUp(op);
    return;
  }
  hooks_.after(delay,
               [self = shared_from_this(), op] { self->WriteClaim(op, 0); });
}

void claim_table::GiveUp(const operation_ptr& op) {
  MarkAbandoned(op->own_claim.value.nonce);
  // Another claim of the key was seen, so the request that made it may have
  // run even though this one did not.
  op->then({op->saw_other_claim ? claim_status::kMayHaveRun
                                : claim_status::kUnavailable,
            {},
            {}});
}

void claim_table::StoreResponse(const claim& held,
                                stored_response response,
                                const done_callback& then) {
  if (response.body.size() > options_.max_response_body_bytes) {
    response.body.clear();
    response.whole = false;
  }
  claim_value value = held.value;
  value.response = std::move(response);
  ReplaceRow(held, EncodeClaim(value), 1, then);
}

void claim_table::Release(const claim& held, const done_callback& then) {
  MarkAbandoned(held.value.nonce);
  ReplaceRow(held, std::nullopt, 1, then);
}

void claim_table::ReplaceRow(const claim& held,
                             std::optional<std::string> value,
                             uint32_t writes,
                             const done_callback& then) {
  hooks_.table.commit(
      {{{held.key, held.version}}, {{held.key, value}}},
      [self = shared_from_this(), held, value, writes,
       then](const store::commit_outcome& outcome) {
        if (outcome.status == store::commit_status::kCommitted) {
          then(done{});
          return;
        }
        if (outcome.status == store::commit_status::kConflict) {
          self->ConfirmReplacement(held, value, then);
          return;
        }
        if (writes >= self->options_.max_writes) {
          then(outcome.why);
          return;
        }
        self->hooks_.after(self->BackoffAfter(writes),
                           [self, held, value, writes, then] {
                             self->ReplaceRow(held, value, writes + 1, then);
                           });
      });
}

void claim_table::ConfirmReplacement(const claim& held,
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

millis claim_table::BackoffAfter(uint32_t writes) const {
  const uint32_t doublings =
      std::min<uint32_t>(writes == 0 ? 0 : writes - 1, 10);
  return std::min(options_.initial_backoff * (1 << doublings),
                  options_.max_backoff);
}

void claim_table::MarkAbandoned(uint64_t nonce) {
  const std::lock_guard lock(mutex_);
  if (!abandoned_.insert(nonce).second) {
    return;
  }
  abandoned_order_.push_back(nonce);
  if (abandoned_order_.size() > kMaxAbandonedClaims) {
    abandoned_.erase(abandoned_order_.front());
    abandoned_order_.pop_front();
  }
}

bool claim_table::IsAbandoned(uint64_t nonce) const {
  const std::lock_guard lock(mutex_);
  return abandoned_.count(nonce) != 0;
}

void claim_table::Sweep(const std::vector<std::string>& workspaces,
                        size_t max_rows,
                        std::function<void(size_t)> then) {
  std::string prefix;
  {
    const std::lock_guard lock(mutex_);
    if (!sweeping_ && sweep_prefixes_.empty()) {
      for (const auto& workspace : workspaces) {
        sweep_prefixes_.push_back("claim/" + workspace + "/");
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
      prefix, kSweepScanRows,
      [self = shared_from_this(), prefix, max_rows,
       then = std::move(then)](result<std::vector<store::row>> rows) {
        if (rows && rows->size() == kSweepScanRows) {
          // Splits the prefix by the next digit of the hexadecimal hash.
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

void claim_table::DeleteExpired(const std::vector<store::row>& rows,
                                size_t max_rows,
                                const std::function<void(size_t)>& then) {
  const int64_t oldest = hooks_.unix_ms() - options_.lifetime.count();
  store::transaction change;
  bool more = rows.size() == kSweepScanRows;
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
        // A later sweep finds the rows that were not deleted.
        then(outcome.status == store::commit_status::kCommitted ? count : 0);
      });
}

}  // namespace chiveglade::routing
