#pragma once

#include <azureladder/key_ranges/lease_rules.hpp>
#include <azureladder/key_ranges/sent_grant.hpp>

#include <cstdint>
#include <vector>

namespace azureladder::key_ranges {

/// Lease grants sent to the backend server of this node that may not have expired yet. Changes of
/// the table, of fencing tokens or of the server's incarnation don't remove them, since none of
/// these revokes a grant.
using grant_history = std::vector<sent_grant>;

/// Initial history of a process. It contains a grant of all keys, since the previous process may
/// have granted any key just before this one started.
grant_history make_grant_history(time_point started_at);

void record_grant(grant_history& history, std::uint64_t command_id, std::uint32_t from,
                  std::uint32_t to, time_point sent_at);

void record_accepted_grant(grant_history& history, std::uint64_t command_id);

/// Removes a grant of which nothing was sent. A refused grant stays in the history, because the
/// refusal may be a duplicate of the answer to another grant.
void remove_unsent_grant(grant_history& history, std::uint64_t command_id);

/// Marks the unanswered grants of these keys: a release of the keys is being sent.
void mark_unanswered_grants_released(grant_history& history, std::uint32_t from, std::uint32_t to);

void remove_expired_grants(grant_history& history, time_point now,
                           const key_lease_options& options);

/// Whether the backend server may currently hold a lease on any of the keys.
bool may_be_leased(const grant_history& history, std::uint32_t from, std::uint32_t to,
                   time_point now, const key_lease_options& options);

/// Whether the backend server may still apply a grant of any of the keys after their release.
bool may_be_granted_late(const grant_history& history, std::uint32_t from, std::uint32_t to,
                         time_point now, const key_lease_options& options);

/// Whether a grant of any of the keys that was sent after `since` has not been accepted yet.
bool has_unanswered_grant_since(const grant_history& history, std::uint32_t from, std::uint32_t to,
                                time_point since);

/// Time at which all granted leases on the keys have expired.
time_point latest_lease_end(const grant_history& history, std::uint32_t from, std::uint32_t to,
                            const key_lease_options& options);

} // namespace azureladder::key_ranges
