#pragma once

#include <azureladder/base/object_reader.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/settings/node_settings.hpp>

#include <string>
#include <vector>

namespace azureladder::settings {

/// Settings that cannot be used. Holds everything that is wrong, so that one run shows all of it.
struct settings_error
{
    std::string m_file;
    std::vector<field_error> m_fields;
};

/// One line for each wrong field: "file: path: what was expected".
std::string to_string(const settings_error& error);

/// Reads and checks the settings in the file at `path`.
result<node_settings, settings_error> load_settings(const std::string& path);

/// Checks settings in JSON with comments; `file` is used in error messages.
result<node_settings, settings_error> parse_settings(const std::string& text,
                                                     const std::string& file);

} // namespace azureladder::settings
