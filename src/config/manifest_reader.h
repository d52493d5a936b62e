// Reads the parts of a manifest from JSON.
#ifndef CHIVEGLADE_CONFIG_MANIFEST_READER_H_
#define CHIVEGLADE_CONFIG_MANIFEST_READER_H_

#include "chiveglade/config/manifest.h"
#include "json_reader.h"

namespace chiveglade::config {

// Each reads one object and checks what can be checked inside it.
void ReadJob(json_reader& in, state::job_spec& out);
void ReadManifest(json_reader& in, manifest& out);

// Checks names that refer to other parts, duplicates and sizes. `pointer` is
// the JSON pointer of the job.
void CheckJob(const manifest& in,
              const state::job_spec& job,
              const std::string& pointer,
              read_context& context);
void CheckManifest(const manifest& in, read_context& context);

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_CONFIG_MANIFEST_READER_H_
