#include <azureladder/core/ownership.hpp>

#include "ownership_internal.hpp"

namespace azureladder::core {

namespace {

void handle_tick(node_state& state, time_point now, effects& output)
{
    step_join(state, now, output);
    step_witness(state, now, output);
    step_lease(state, now, output);
    step_takeover(state, now, output);
    step_rejoin(state, now, output);
    step_handoffs(state, now);
    step_release(state, now, output);
    if (may_propose_plan(state, now))
        propose_plan_change(state, now);
    step_plan_write(state, now, output);
    step_balance(state, now);
    step_table_changes(state, now, output);
    step_store_poll(state, now, output);
    update_serving(state, now, output);
    step_stop(state, now, output);
}

/// Starts a new incarnation after a long suspension, in which another process may have replaced
/// this one. The node must neither grant a lease nor serve under its former incarnation, whichever
/// event comes first.
void rejoin_after_pause(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    const auto gap = now - own.m_last_tick;
    // Runs before the event can drop slices with another reason than the lease that expired during
    // the pause.
    if (gap > state.m_options.m_lease_duration / 2)
        end_serving_after_lease(state, now, output);
    if (!own.m_ticked || !is_plan_written(state) || gap <= state.m_options.m_max_tick_gap)
        return;
    log_event(output, log_level::warning, "paused", {{"pause_ms", to_ms(gap)}});
    own.m_last_tick = now;
    begin_join(state, now, true, output);
}

struct message_handler
{
    node_state& m_state;
    time_point m_now;
    const message_received& m_received;
    effects& m_output;

    void operator()(const lease_request& value)
    {
        handle_lease_request(m_state, m_now, m_received, value, m_output);
    }
    void operator()(const lease_grant& value)
    {
        handle_lease_grant(m_state, m_now, m_received, value, m_output);
    }
    void operator()(const lease_refusal& value)
    {
        handle_lease_refusal(m_state, m_now, m_received, value, m_output);
    }
    void operator()(const fence_promise& value)
    {
        handle_fence_promise(m_state, m_now, m_received, value, m_output);
    }
    void operator()(const fence_ack& value) { handle_fence_ack(m_state, m_received, value); }
    void operator()(const owner_notice& value) { handle_owner_notice(m_state, value, m_output); }
    void operator()(const release& value)
    {
        handle_release(m_state, m_now, m_received, value, m_output);
    }
    void operator()(const release_ack& value)
    {
        handle_release_ack(m_state, m_now, m_received, value);
    }
    void operator()(const directory_pull& value)
    {
        handle_directory_pull(m_state, m_received, value, m_output);
    }
    void operator()(const directory_push& value)
    {
        handle_directory_push(m_state, value, m_output);
    }

    /// Messages of the other modules.
    template <class Other>
    void operator()(const Other&)
    {
    }
};

} // namespace

void step_ownership(node_state& state, time_point now, const event& input, effects& output)
{
    rejoin_after_pause(state, now, output);
    if (std::holds_alternative<timer_tick>(input)) {
        handle_tick(state, now, output);
    } else if (const auto* received = std::get_if<message_received>(&input)) {
        std::visit(message_handler{state, now, *received, output}, received->m_message);
        update_serving(state, now, output);
    } else if (const auto* answer = std::get_if<store_finished>(&input)) {
        handle_store_answer(state, now, *answer, output);
        update_serving(state, now, output);
    } else if (std::holds_alternative<stop_requested>(input)) {
        state.m_stopping = true;
    }
}

bool accepts_new_work(const node_state& state, time_point now)
{
    return !state.m_stopping && holds_lease(state, now) && !is_node_out_of_service(state);
}

json ownership_status(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    json slices = json::array();
    for (const auto& [slice, held] : own.m_slices) {
        slices.push_back({{"space", slice.m_space},
                          {"slice", slice.m_index},
                          {"epoch", held.m_epoch},
                          {"phase", find_enum_name(slice_phase_names, held.m_phase)},
                          {"serving", serving_epoch(state, slice, now).has_value()}});
    }
    json witnesses = json::array();
    for (const auto& member : own.m_plan.m_witnesses)
        witnesses.push_back(member_text(member));
    json standbys = json::array();
    for (const auto& member : own.m_plan.m_standbys)
        standbys.push_back(member_text(member));
    return {{"join", find_enum_name(join_phase_names, own.m_phase)},
            {"holds_lease", holds_lease(state, now)},
            {"generation", own.m_plan.m_generation},
            {"plan_version", own.m_plan.m_version},
            {"active_version", own.m_active_plan.m_version},
            {"store_down", own.m_store_down},
            {"known_nodes", newest_plans(state.m_directory).size()},
            {"known_slices", state.m_directory.m_locations.size()},
            {"witnesses", std::move(witnesses)},
            {"standbys", std::move(standbys)},
            {"slices", std::move(slices)}};
}

} // namespace azureladder::core
