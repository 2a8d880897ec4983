#pragma once

#include <azureladder/base/object_reader.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/settings/node_settings.hpp>

#include <string>
#include <vector>

namespace azureladder::settings {

/// Errors of a settings file. Holds all errors that were found, so that one run reports them
/// together.
struct settings_error
{
    std::string m_file;
    std::vector<field_error> m_fields;
};

/// Returns one line for each error: "file: path: message".
std::string to_string(const settings_error& error);

/// Reads and validates the settings file at `path`.
result<node_settings, settings_error> load_settings(const std::string& path);

/// Parses and validates settings in JSON with comments. Error messages name `file`.
result<node_settings, settings_error> parse_settings(const std::string& text,
                                                     const std::string& file);

} // namespace azureladder::settings
