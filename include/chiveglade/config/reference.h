// Reference documentation generated from the code that reads a document.
#ifndef CHIVEGLADE_CONFIG_REFERENCE_H_
#define CHIVEGLADE_CONFIG_REFERENCE_H_

#include <string>
#include <vector>

namespace chiveglade::config {

// One field of a settings file or manifest.
struct field_reference {
  std::string pointer;  // JSON pointer; "*" stands for any array index
  bool required = false;
  std::string accepted;
  std::string default_value;  // empty if required
  std::string meaning;

  friend bool operator==(const field_reference&,
                         const field_reference&) = default;
};

// Every field, in the order in which the reader asks for them.
std::vector<field_reference> EntrySettingsReference();
std::vector<field_reference> AgentSettingsReference();
std::vector<field_reference> GatewaySettingsReference();
std::vector<field_reference> RunnerSettingsReference();
std::vector<field_reference> ManifestReference();

// A Markdown table of the fields.
std::string ToMarkdown(const std::vector<field_reference>& fields);

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_CONFIG_REFERENCE_H_
