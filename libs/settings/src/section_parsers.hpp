#pragma once

#include <azureladder/base/object_reader.hpp>
#include <azureladder/settings/node_settings.hpp>

/// Parsers of the sections of a settings file.
namespace azureladder::settings {

void parse_http(object_reader& reader, node_settings& settings);
void parse_peer(object_reader& reader, node_settings& settings);
void parse_store(object_reader& reader, node_settings& settings);
void parse_log(object_reader& reader, node_settings& settings);
void parse_cluster(object_reader& reader, node_settings& settings);
void parse_timing(object_reader& reader, node_settings& settings);
void parse_limits(object_reader& reader, node_settings& settings);

/// Checks the rules that involve several fields. Requires that each field is valid on its own.
void check_cross_field_rules(const node_settings& settings, std::vector<field_error>& errors);

/// Syntax of the names of nodes and availability zones: [a-z0-9._-]{1,64}, not starting with '_'.
const string_constraint& name_rule();

} // namespace azureladder::settings
