#pragma once

#include "record_parser.hpp"

#include <azureladder/records/document.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Adds records to a document and checks that the records of a document fit together.
namespace azureladder::records {

/// Path of each record of a change by its key "kind/name", for error messages.
using record_paths = std::map<std::string, std::string>;

/// Parses an array of records. Records that occur twice are an error.
std::vector<parsed_record> parse_records(const json& records, const std::string& path,
                                         std::vector<field_error>& errors);

void add_record(document& value, const parsed_record& record, const json& text);

/// Adds an error for each key policy whose service or group does not exist, is not divided by key
/// or is named by another policy too. `allow_missing_services` skips services without a record.
void check_references(const document& value, const record_paths& paths, bool allow_missing_services,
                      std::vector<field_error>& errors);

/// First error as the error type of this library.
records_error first_error(const std::vector<field_error>& errors);

} // namespace azureladder::records
