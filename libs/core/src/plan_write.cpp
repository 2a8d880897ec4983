#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/core/claims.hpp>
#include <azureladder/core/plan_json.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

/// Delay after the join before plans of former incarnations are removed. By then the polling nodes
/// have read all slice tables, so the directory contains every entry that names one.
constexpr duration former_plan_retention = seconds(60);

bool owns_any_slice(const directory_state& directory, const member_id& member)
{
    return std::any_of(directory.m_locations.begin(), directory.m_locations.end(),
                       [&](const auto& entry) { return entry.second.m_owner == member; });
}

void remove_former_plans(const node_state& state, time_point now, json& object,
                         const plan_shard& shard)
{
    if (state.m_ownership.m_phase != join_phase::joined)
        return;
    if (now < state.m_ownership.m_join_since + former_plan_retention)
        return;
    for (const auto& [member, content] : shard) {
        const bool former = member.m_node == state.m_identity.m_node &&
                            content.m_generation < state.m_ownership.m_plan.m_generation;
        if (former && !owns_any_slice(state.m_directory, member))
            object.erase(plan_field(member));
    }
}

std::uint64_t next_generation(const plan_shard& shard, const node_id& node)
{
    std::uint64_t highest = 0;
    for (const auto& [member, content] : shard) {
        if (member.m_node == node)
            highest = std::max(highest, content.m_generation);
    }
    return highest + 1;
}

void finish_proposal(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    const bool joining = own.m_phase == join_phase::writing_plan;
    own.m_plan = std::move(*own.m_proposed_plan);
    own.m_proposed_plan.reset();
    own.m_plan_written_at = now;
    merge_own_plan(state);
    log_event(output, log_level::info, "plan_written", {{"version", own.m_plan.m_version}});
    if (joining) {
        own.m_phase = join_phase::joined;
        own.m_join_since = now;
        log_event(output, log_level::info, "node_started",
                  {{"generation", own.m_plan.m_generation},
                   {"zone", state.m_identity.m_zone},
                   {"server", own.m_plan.m_server}});
    }
    send_own_plan(state, output);
    // Grants under the new version activate it. An immediate lease round shortens the change.
    send_lease_round(state, now, output);
    activate_granted_plan(state, now, output);
}

/// Returns false when the store already contains the proposal.
bool prepare_proposal(node_state& state, const plan_shard& shard)
{
    auto& own = state.m_ownership;
    const auto stored = shard.find(own.m_proposed_plan->m_member);
    if (stored == shard.end()) {
        if (own.m_phase == join_phase::writing_plan)
            own.m_proposed_plan->m_generation = next_generation(shard, state.m_identity.m_node);
        return true;
    }
    if (plan_to_json(stored->second) == plan_to_json(*own.m_proposed_plan))
        return false;
    // An abandoned earlier proposal may have reached the store. No lease request named its version;
    // the next version must be higher.
    own.m_proposed_plan->m_version =
        std::max(own.m_proposed_plan->m_version, stored->second.m_version + 1);
    return true;
}

void write_proposal(node_state& state, time_point now, const store_operation& read,
                    const store_finished& answer, json object, effects& output)
{
    if (state.m_ownership.m_phase == join_phase::joined) {
        // The inputs of the proposal may have changed while the store was down.
        state.m_ownership.m_proposed_plan = next_plan(state, now);
        if (!state.m_ownership.m_proposed_plan)
            return;
    }
    std::size_t malformed = 0;
    const auto shard = plan_shard_from_text(answer.m_value, malformed).value_or(plan_shard{});
    if (!prepare_proposal(state, shard)) {
        finish_proposal(state, now, output);
        return;
    }
    const auto& proposal = *state.m_ownership.m_proposed_plan;
    remove_former_plans(state, now, object, shard);
    object[plan_field(proposal.m_member)] = plan_to_json(proposal);
    store_operation operation;
    operation.m_kind = store_operation_kind::write_own_plan;
    operation.m_key = read.m_key;
    operation.m_version = proposal.m_version;
    start_write(state, now, operation, object.dump(), answer.m_version, output);
}

} // namespace

std::string plan_key(const node_state& state, const node_id& node)
{
    return "plans/" + std::to_string(hash64(node) % state.m_ownership.m_plan_shards);
}

void step_plan_write(node_state& state, time_point now, effects& output)
{
    if (!state.m_ownership.m_proposed_plan || !is_store_due(state, now))
        return;
    if (has_operation(state, store_operation_kind::read_own_plan) ||
        has_operation(state, store_operation_kind::write_own_plan))
        return;
    start_read(state, now, store_operation_kind::read_own_plan,
               plan_key(state, state.m_identity.m_node), output);
}

void finish_plan_operation(node_state& state, time_point now, const store_operation& operation,
                           const store_finished& answer, effects& output)
{
    auto& own = state.m_ownership;
    if (!own.m_proposed_plan)
        return;
    if (operation.m_kind == store_operation_kind::read_own_plan) {
        if (auto object = parse_for_update(state, now, operation, answer, output))
            write_proposal(state, now, operation, answer, std::move(*object), output);
        return;
    }
    if (answer.m_status == store_status::ok &&
        operation.m_version == own.m_proposed_plan->m_version)
        finish_proposal(state, now, output);
    else
        step_plan_write(state, now, output);
}

std::vector<std::string> plan_shard_keys(const node_state& state)
{
    std::vector<std::string> keys;
    for (std::uint32_t shard = 0; shard < state.m_ownership.m_plan_shards; ++shard)
        keys.push_back("plans/" + std::to_string(shard));
    return keys;
}

} // namespace azureladder::core
