#include "chiveglade/workflow/leader_row.h"

#include "src/state/cbor.h"

namespace chiveglade::workflow {

std::string EncodeLeaderRow(const leader_row& in) {
  return state::WriteCbor(state::Row(in.epoch, in.holder, in.address, in.nonce,
                                     in.released, in.ready, in.fitness,
                                     in.successor, in.failed_takeovers));
}

result<leader_row> DecodeLeaderRow(const std::string& text) {
  auto parsed = state::ParseCborArray(text, "the leader row");
  if (!parsed) {
    return parsed.last_reason();
  }
  state::cbor_reader in(*parsed);
  leader_row out;
  out.epoch = in.Int<uint64_t>();
  out.holder = in.Text();
  out.address = in.Text();
  out.nonce = in.Text();
  out.released = in.Bool();
  if (!in.Finished()) {
    out.ready = in.Bool();
    out.fitness = in.Int<uint32_t>();
    out.successor = in.Text();
    out.failed_takeovers = in.Int<uint32_t>();
  } else {
    // Written by a release without these fields, whose holders were never
    // passed over for not being ready.
    out.ready = true;
  }
  if (!in.Finished()) {
    return reason{"corrupt", "the leader row has the wrong fields"};
  }
  return out;
}

}  // namespace chiveglade::workflow
