#pragma once

#include <azureladder/key_ranges/hold_rules.hpp>
#include <azureladder/key_ranges/sent_grant.hpp>

#include <cstdint>
#include <vector>

namespace azureladder::key_ranges {

/// All grants to the server beside a node whose holds may not have ended. They stay through
/// changes of the table, of fencing tokens and of the server's life, since none of these takes a
/// grant back.
using grant_history = std::vector<sent_grant>;

/// History of a process that starts: its predecessor may have granted any key just before.
grant_history make_grant_history(time_point started_at);

void record_grant(grant_history& history, std::uint64_t order, std::uint32_t from, std::uint32_t to,
                  time_point sent_at);

void record_acceptance(grant_history& history, std::uint64_t order);

/// Drops a grant that never left. One that was refused stays: the answer may be a second copy of
/// that to another grant.
void record_not_sent(grant_history& history, std::uint64_t order);

/// Notes that a release of some keys is sent now.
void record_release(grant_history& history, std::uint32_t from, std::uint32_t to);

void forget_ended(grant_history& history, time_point now, const hold_options& options);

/// Whether the server may hold some of the keys now.
bool may_be_held(const grant_history& history, std::uint32_t from, std::uint32_t to, time_point now,
                 const hold_options& options);

/// Whether a release of these keys leaves a grant that may be carried out after it.
bool may_be_granted_late(const grant_history& history, std::uint32_t from, std::uint32_t to,
                         time_point now, const hold_options& options);

/// Whether a grant of some of the keys that was sent after `since` is not accepted yet.
bool has_open_grant_since(const grant_history& history, std::uint32_t from, std::uint32_t to,
                          time_point since);

/// When the last grant of some of the keys has ended in any case.
time_point last_hold_end(const grant_history& history, std::uint32_t from, std::uint32_t to,
                         const hold_options& options);

} // namespace azureladder::key_ranges
