#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/records/key_policy_record.hpp>
#include <azureladder/records/records_error.hpp>
#include <azureladder/records/service_record.hpp>
#include <azureladder/records/service_state.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azureladder::records {

/// Configuration document: all records in effect, under one revision.
struct document
{
    revision_number m_revision = 0;

    /// Apply ids of the latest changes, newest last; lets a writer whose answer was lost find out
    /// whether its change took effect.
    std::vector<std::string> m_apply_ids;

    /// Records as the operators wrote them, by "kind/name".
    std::map<std::string, json> m_records;

    std::map<std::string, service_record> m_services;
    std::map<std::string, key_policy_record> m_key_policies;

    /// Zones and backend servers with a record; those without one are in service.
    std::map<std::string, service_state> m_zones;
    std::map<std::string, service_state> m_servers;

    static constexpr std::size_t max_apply_ids = 256;
};

/// Parses the JSON text of a document as `to_text` writes it.
result<document, records_error> parse_document(const std::string& text);

std::string to_text(const document& value);

/// Checks an array of records on its own, without a document.
std::optional<records_error> validate_records(const json& records);

/// Adds or replaces `records` (an array) and raises the revision by one. Fails when a record is
/// not valid or changes what cannot change (slices and key groups of a service).
result<document, records_error> apply_records(const document& base, const json& records,
                                              const std::string& apply_id);

/// Differences that applying `records` would make: array of {"record", "path", "from", "to"}.
json diff_records(const document& base, const json& records);

bool has_apply_id(const document& value, const std::string& apply_id);
const service_record* find_service(const document& value, const std::string& name);
bool zone_in_service(const document& value, const std::string& zone);
bool server_in_service(const document& value, const std::string& server);

/// Slice space of a key: the group with the longest matching prefix, else the service's own.
std::string space_of_key(const service_record& service, const std::string& key);

/// All slice spaces of a service; empty when it is not divided by key.
std::vector<std::string> spaces_of_service(const service_record& service);

/// Whether a backend server of `service` in `zone` may own slices of `space`: the service's zones,
/// the key policy of the space, and the states of the zone and the server allow it.
bool may_own(const document& value, const std::string& space, const std::string& service,
             const std::string& server, const std::string& zone);

} // namespace azureladder::records
