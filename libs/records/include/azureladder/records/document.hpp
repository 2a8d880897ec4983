#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/records/administrative_state.hpp>
#include <azureladder/records/key_policy_record.hpp>
#include <azureladder/records/records_error.hpp>
#include <azureladder/records/service_record.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azureladder::records {

/// Configuration document: all active records, with one revision number.
struct document
{
    revision_number m_revision = 0;

    /// Apply ids of the latest changes, newest last. A client whose response was lost uses them to
    /// check whether its change was applied.
    std::vector<std::string> m_apply_ids;

    /// Records as operators wrote them, by "kind/name".
    std::map<std::string, json> m_records;

    std::map<std::string, service_record> m_services;
    std::map<std::string, key_policy_record> m_key_policies;

    /// States of the zones and backend servers that have a record. Those without one are in
    /// service.
    std::map<std::string, administrative_state> m_zones;
    std::map<std::string, administrative_state> m_servers;

    static constexpr std::size_t max_apply_ids = 256;
};

/// Parses and validates the JSON text of a document, as `serialize_document` writes it.
result<document, records_error> parse_document(const std::string& text);

std::string serialize_document(const document& value);

/// Validates an array of records without a document. Key policies may name services outside it.
std::optional<records_error> validate_records(const json& records);

/// Adds or replaces `records` (an array) and increments the revision. Fails when a record is
/// invalid, a reference does not resolve, `apply_id` is in `base` already, or an immutable field of
/// a service would change (divided_by_key, slices, key_groups).
result<document, records_error> apply_records(const document& base, const json& records,
                                              const std::string& apply_id);

/// Returns the differences that applying `records` would make, as an array of {"record", "path",
/// "from", "to"}.
json diff_records(const document& base, const json& records);

bool has_apply_id(const document& value, const std::string& apply_id);
const service_record* find_service(const document& value, const std::string& name);
bool zone_in_service(const document& value, const std::string& zone);
bool server_in_service(const document& value, const std::string& server);

/// Returns the slice space of a key: that of the key group with the longest matching prefix, or of
/// the service if no prefix matches.
std::string slice_space_of_key(const service_record& service, const std::string& key);

/// Returns all slice spaces of a service; none if it is not divided by key.
std::vector<std::string> slice_spaces_of_service(const service_record& service);

/// Returns whether the backend server `server` of `service` in `zone` may own slices of `space`:
/// the zones of the service, the key policy of the space, and the states of the zone and the server
/// allow it.
bool is_eligible_owner(const document& value, const std::string& space, const std::string& service,
                       const std::string& server, const std::string& zone);

} // namespace azureladder::records
