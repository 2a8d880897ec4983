#pragma once

#include "client_connection.hpp"

#include <string>
#include <string_view>

namespace azureladder::sidecar_runtime {

inline constexpr std::string_view node_key_prefix = "azureladder/nodes/";

/// Prefix of the keys of range tables. A table has a key of its own in each era of the store, so
/// that a write of a former era, carried out late, can't replace a table of this one: its condition
/// names a revision number that may have been assigned again.
inline constexpr std::string_view table_key_prefix = "azureladder/keys/";

/// Suffix, after the key of a node's record, of the key for departures that the node acknowledged.
/// The list of nodes includes these items, so each node also reads those of the others.
inline constexpr std::string_view departures_suffix = "/departures";

inline bool is_success(const exchange_outcome& outcome)
{
    return outcome.m_result == exchange_result::answered && outcome.m_response.m_status == 200;
}

inline std::string failure_cause(const exchange_outcome& outcome)
{
    return outcome.m_result == exchange_result::answered
               ? "status " + std::to_string(outcome.m_response.m_status)
               : outcome.m_cause;
}

} // namespace azureladder::sidecar_runtime
