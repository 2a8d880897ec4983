#include "claims_internal.hpp"

#include <algorithm>

/// Transfer of claims with their slice, and their expiry.
namespace azureladder::core {

std::optional<claim> incomplete_marker(const node_state& state, const slice_id& slice,
                                       time_point now)
{
    const auto table = state.m_claims.m_tables.find(slice);
    if (table == state.m_claims.m_tables.end() || now >= table->second.m_incomplete_until)
        return std::nullopt;
    claim marker;
    marker.m_slice = slice;
    marker.m_state = claim_state::unknown;
    marker.m_age = state.m_options.m_claim_retention - (table->second.m_incomplete_until - now);
    return marker;
}

std::vector<claim> export_claims(const node_state& state, const slice_id& slice, time_point now)
{
    std::vector<claim> exported;
    const auto table = state.m_claims.m_tables.find(slice);
    if (table == state.m_claims.m_tables.end())
        return exported;
    for (const auto& [key, stored] : table->second.m_claims) {
        exported.push_back(stored.m_claim);
        exported.back().m_age = now - stored.m_created;
    }
    if (auto marker = incomplete_marker(state, slice, now))
        exported.push_back(*marker);
    return exported;
}

void import_claim(node_state& state, const claim& value, time_point now)
{
    if (value.m_age >= state.m_options.m_claim_retention)
        return;
    if (value.m_key.empty()) {
        auto& incomplete_until = state.m_claims.m_tables[value.m_slice].m_incomplete_until;
        incomplete_until =
            std::max(incomplete_until, now + state.m_options.m_claim_retention - value.m_age);
        return;
    }
    auto& stored = state.m_claims.m_tables[value.m_slice].m_claims[value.m_key];
    // A stored outcome is not replaced by an earlier state of the claim.
    if (stored.m_claim.m_state == claim_state::executed && !stored.m_claim.m_key.empty())
        return;
    stored = {};
    stored.m_claim = value;
    stored.m_created = now - std::max(value.m_age, duration(0));
    if (value.m_state == claim_state::in_progress)
        stored.m_claim.m_state = claim_state::unknown;
}

void import_claims(node_state& state, const std::vector<claim>& claims, time_point now)
{
    for (const auto& value : claims)
        import_claim(state, value, now);
}

void mark_claims_incomplete(node_state& state, const slice_id& slice, time_point now)
{
    state.m_claims.m_tables[slice].m_incomplete_until = now + state.m_options.m_claim_retention;
}

bool has_complete_claims(const node_state& state, const owned_slice& slice)
{
    const auto found = state.m_claims.m_received_baselines.find(slice.m_slice);
    return found != state.m_claims.m_received_baselines.end() &&
           found->second.second == slice.m_epoch;
}

void expire_claims(claims_context& context)
{
    auto& tables = context.m_state.m_claims.m_tables;
    const auto retention = context.m_state.m_options.m_claim_retention;
    for (auto table = tables.begin(); table != tables.end();) {
        auto& claims = table->second.m_claims;
        for (auto found = claims.begin(); found != claims.end();) {
            auto& stored = found->second;
            const auto age = context.m_now - stored.m_created;
            if (stored.m_claim.m_state == claim_state::in_progress &&
                age >= claim_in_progress_timeout)
                stored.m_claim.m_state = claim_state::unknown;
            found = age >= retention ? claims.erase(found) : std::next(found);
        }
        const bool empty = claims.empty() && context.m_now >= table->second.m_incomplete_until;
        table = empty ? tables.erase(table) : std::next(table);
    }
}

} // namespace azureladder::core
