#include "step_context.hpp"

#include <azureladder/key_ranges/lease_rules.hpp>
#include <azureladder/key_ranges/range_table_json.hpp>
#include <azureladder/key_ranges/store_revision.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Difference between the times at which two successive owners claim their ranges. Each claim is a
/// compare-and-swap of the table, which takes a few milliseconds.
constexpr duration claim_interval = milliseconds(15);

/// Additional delay of a node that knows no table of the former era, so that those which do come
/// first.
constexpr duration uninformed_claim_delay = milliseconds(1000);

/// Time after which a node without claims uses a table that it could not add its knowledge to.
constexpr duration claim_timeout = milliseconds(2000);

received_table* local_table(node_state& state)
{
    const auto found = state.m_tables.find(local_keyed_service(state));
    return found == state.m_tables.end() ? nullptr : &found->second;
}

/// Time at which this node claims its ranges in an era that it has learned of now.
time_point claim_time(node_state& state, time_point now)
{
    const received_table* former = local_table(state);
    if (former == nullptr)
        return now + uninformed_claim_delay;
    const auto preceding =
        std::count_if(former->m_owners.begin(), former->m_owners.end(),
                      [&](const auto& owner) { return owner.first < state.m_options.m_node; });
    return now + claim_interval * preceding;
}

void retain(step_context& context, std::uint64_t revision, const key_ranges::range_table& table,
            time_point confirmed_at)
{
    auto& retained = context.m_state.m_ownership.m_new_era;
    if (retained && retained->m_revision > revision)
        return;
    const time_point claim_at =
        retained ? retained->m_claim_at : claim_time(context.m_state, context.m_now);
    retained = table_of_new_era{revision, table, confirmed_at, claim_at};
}

} // namespace

void on_store_era(step_context& context, std::uint64_t era)
{
    node_state& state = context.m_state;
    if (era <= state.m_store_era)
        return;
    log(context, log_level::warning, "store_era_changed",
        {{"era", era}, {"former", state.m_store_era}});
    state.m_store_era = era;
    state.m_store_era_known_at = context.m_now;
    state.m_ownership.m_next_read_at = context.m_now;
    state.m_ownership.m_new_era.reset();
    emit(context, enter_store_era{era});
    for (const auto& [id, started_at_ms] : state.m_departed_servers)
        add_unstored_departure(context, id, started_at_ms);
    if (!state.m_departed_servers.empty())
        emit(context, store_departures{state.m_departed_servers});
    broadcast_status(context);
}

bool may_confirm_ranges(const node_state& state, time_point now)
{
    return state.m_store_era == 0 ||
           now >= key_ranges::takeover_time(state.m_store_era_known_at, state.m_options.m_leases);
}

bool retain_for_claim(step_context& context, const std::string& service, std::uint64_t revision,
                      const key_ranges::range_table& table, time_point confirmed_at)
{
    node_state& state = context.m_state;
    on_store_era(context, key_ranges::era_of(revision));
    if (service != local_keyed_service(state))
        return false;
    const received_table* former = local_table(state);
    if (former == nullptr || key_ranges::era_of(revision) <= key_ranges::era_of(former->m_revision))
        return false;
    // A table of an era that has ended already confirms nothing.
    if (key_ranges::era_of(revision) == state.m_store_era)
        retain(context, revision, table, confirmed_at);
    return true;
}

bool begin_table_of_new_era(step_context& context, const table_read& read)
{
    node_state& state = context.m_state;
    if (key_ranges::era_of(read.m_revision) == 0 ||
        key_ranges::era_of(read.m_revision) != state.m_store_era)
        return false;
    const received_table* known = local_table(state);
    auto table = key_ranges::parse_range_table(read.m_former_text);
    if (!table && known != nullptr)
        table = known->m_table;
    if (!table)
        return false;
    retain(context, read.m_revision, *table, read.m_sent_at);
    return true;
}

bool claim_ranges(step_context& context, const std::string& service)
{
    node_state& state = context.m_state;
    auto& retained = state.m_ownership.m_new_era;
    if (!retained)
        return false;
    if (context.m_now < retained->m_claim_at)
        return true;
    const received_table* former = local_table(state);
    const auto claims = entitled_ranges(state, context.m_now);
    const key_ranges::range_table wanted = key_ranges::recover_table(
        retained->m_table, former == nullptr ? key_ranges::range_table{} : former->m_table,
        {state.m_options.m_node, local_owner_incarnation(state)}, claims, state.m_store_era);
    const bool exists = key_ranges::number_of(retained->m_revision) != 0;
    const bool is_complete =
        wanted.m_entries == retained->m_table.m_entries ||
        (claims.empty() && context.m_now - retained->m_claim_at > claim_timeout);
    if (!exists || !is_complete) {
        write_proposed_table(context, service, retained->m_revision, wanted, "store era changed");
        return true;
    }
    const table_of_new_era table = std::move(*retained);
    retained.reset();
    put_table_in_effect(context, service, table.m_revision, table.m_table, table.m_confirmed_at,
                        "new era");
    return false;
}

} // namespace azureladder::sidecar
