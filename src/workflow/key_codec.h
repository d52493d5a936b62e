// CBOR encoding of run keys.
#ifndef CHIVEGLADE_SRC_WORKFLOW_KEY_CODEC_H_
#define CHIVEGLADE_SRC_WORKFLOW_KEY_CODEC_H_

#include "chiveglade/workflow/job.h"
#include "src/state/cbor.h"

namespace chiveglade::workflow {

inline state::cbor_array ToCbor(const run_key& in) {
  return state::Row(in.task.job, in.task.occurrence, in.task.step,
                    in.task.index, in.run);
}

// Reads the fields of a run key from the array that contains them.
inline run_key ReadRunFields(state::cbor_reader& in) {
  run_key out;
  out.task.job = in.Text();
  out.task.occurrence = in.Int<uint32_t>();
  out.task.step = in.Int<uint32_t>();
  out.task.index = in.Int<uint32_t>();
  out.run = in.Int<uint32_t>();
  return out;
}

// Reads a run key that is encoded as one array element.
inline run_key ReadRun(state::cbor_reader& in) {
  state::cbor_reader inner(in.Array());
  run_key out = ReadRunFields(inner);
  if (!inner.Finished()) {
    in.Fail();
  }
  return out;
}

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_SRC_WORKFLOW_KEY_CODEC_H_
