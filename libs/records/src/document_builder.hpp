#pragma once

#include "record_parser.hpp"

#include <azureladder/records/document.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Adds records to a document and checks references between its records.
namespace azureladder::records {

/// Paths of the records of a change by record key "kind/name", for error messages.
using record_paths = std::map<std::string, std::string>;

/// Parses an array of records. Adds an error for a record that occurs twice.
std::vector<parsed_record> parse_records(const json& records, const std::string& path,
                                         std::vector<field_error>& errors);

/// Adds or replaces `record`, whose JSON is `text`.
void add_record(document& value, const parsed_record& record, const json& text);

/// Adds an error for each key policy whose service or key group does not exist, whose service is
/// not divided by key or has no zone in common with it, or whose key group another policy names
/// too. `allow_missing_services` accepts services without a record.
void check_references(const document& value, const record_paths& paths, bool allow_missing_services,
                      std::vector<field_error>& errors);

/// Converts the first of `errors`, which must not be empty.
records_error first_error(const std::vector<field_error>& errors);

} // namespace azureladder::records
