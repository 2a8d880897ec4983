#include <azureladder/sidecar/step.hpp>

#include "step_context.hpp"

namespace azureladder::sidecar {

namespace {

void dispatch_frame(step_context& context, std::uint64_t link, const std::string& node,
                    const peer_frame& frame)
{
    struct visitor
    {
        step_context& m_context;
        std::uint64_t m_link;
        const std::string& m_node;

        void operator()(const hello_frame& f) { on_hello(m_context, m_link, f); }
        void operator()(const ping_frame& f) { on_ping(m_context, m_link, f); }
        void operator()(const status_frame& f) { on_status(m_context, m_link, f); }
        void operator()(const request_frame& f) { on_request(m_context, m_link, m_node, f); }
        void operator()(const cancel_frame& f) { on_cancel(m_context, m_node, f.m_id); }
        void operator()(const resume_frame& f) { on_resume(m_context, m_link, m_node, f.m_id); }
        void operator()(const response_frame& f) { on_response(m_context, f); }
        void operator()(const refusal_frame& f) { on_refusal(m_context, f); }
        void operator()(const failure_frame& f) { on_failure(m_context, f); }
        void operator()(const document_request_frame& f)
        {
            on_document_request(m_context, m_link, f);
        }
        void operator()(const released_keys_frame& f) { on_released_keys(m_context, m_node, f); }
        void operator()(const document_frame& f) { on_document(m_context, m_link, f); }
        void operator()(const body_request_frame& f)
        {
            on_body_request(m_context, m_link, m_node, f);
        }
        void operator()(const body_frame& f) { on_body(m_context, m_node, f); }
        void operator()(const quota_request_frame& f) { on_quota_request(m_context, m_link, f); }
        void operator()(const quota_answer_frame& f) { on_quota_answer(m_context, m_node, f); }
        void operator()(const quota_return_frame& f) { on_quota_return(m_context, f); }
    };
    std::visit(visitor{context, link, node}, frame);
}

void on_frame(step_context& context, const frame_received& received)
{
    const auto found = context.m_state.m_node_of_link.find(received.m_link);
    const bool is_hello = std::holds_alternative<hello_frame>(received.m_frame);
    if (found == context.m_state.m_node_of_link.end() && !is_hello) {
        log(context, log_level::warning, "frame_before_hello", {{"link", received.m_link}});
        emit(context, close_link{received.m_link});
        return;
    }
    if (is_hello) {
        dispatch_frame(context, received.m_link, {}, received.m_frame);
        return;
    }
    const std::string& node = found->second;
    context.m_state.m_quotas.m_last_peer_frame_at = context.m_now;
    const auto accepted = context.m_state.m_accepted_links.find(received.m_link);
    if (accepted != context.m_state.m_accepted_links.end()) {
        accepted->second.m_last_frame_at = context.m_now;
    } else {
        // Frames on a connection that the peer opened do not prove that the outgoing one works.
        const auto peer = context.m_state.m_peers.find(node);
        if (peer != context.m_state.m_peers.end() && peer->second.m_link == received.m_link)
            peer->second.m_last_activity_at = context.m_now;
    }
    dispatch_frame(context, received.m_link, node, received.m_frame);
}

void on_tick(step_context& context)
{
    node_state& state = context.m_state;
    if (context.m_now - state.m_last_tick > max_tick_interval) {
        log(context, log_level::warning, "process_stood_still",
            {{"pause_ms", to_ms(context.m_now - state.m_last_tick)}});
        for (auto& [node, peer] : state.m_peers) {
            // Replaces a ping whose response may be unread, because a confirmation counts from the
            // time of the ping that it responds to.
            if (peer.m_ping_pending)
                ping(context, peer);
            peer.m_ping_sent_at = context.m_now;
            peer.m_last_activity_at = context.m_now;
        }
        for (auto& [link, accepted] : state.m_accepted_links)
            accepted.m_last_frame_at = context.m_now;
        restart_resume_windows(context);
        // Announcements may have arrived that were not read yet.
        if (state.m_backend)
            state.m_backend->m_announced_at = context.m_now;
        const duration pause = context.m_now - state.m_last_tick;
        state.m_current_announcements_from += pause;
    }
    state.m_last_tick = context.m_now;
    check_pending_acknowledgements(context);
    check_peers(context);
    check_outdated_documents(context);
    check_retained_evacuations(context);
    check_called_services(context);
    check_backend_executions(context);
    check_tables(context);
    check_range_leases(context);
    check_range_transfers(context);
    if (has_organisations(state) || !state.m_quotas.m_buckets.empty()) {
        check_quota_buckets(context);
        check_quota_waits(context);
    }
    check_open_requests(context);
}

/// Ends the process once its requests and transfers are complete, or when the stop time has run
/// out.
void check_stop(step_context& context)
{
    node_state& state = context.m_state;
    if (!state.m_stopping || state.m_has_stopped)
        return;
    const duration elapsed = context.m_now - state.m_stop_requested_at;
    const bool idle = state.m_requests.empty() && state.m_admission_controller.m_running.empty() &&
                      state.m_admission_controller.m_waiting.empty() &&
                      state.m_ownership.m_transfers.empty();
    if (elapsed < state.m_options.m_min_stop_time ||
        (!idle && elapsed < state.m_options.m_max_stop_time))
        return;
    for (const auto& [caller, request] : state.m_requests) {
        emit(context,
             respond_to_caller{
                 caller, may_have_been_executed(request) ? 502 : 503, "node is stopping", {}});
    }
    state.m_requests.clear();
    state.m_has_stopped = true;
    log(context, log_level::info, "node_stopped", {{"elapsed_ms", to_ms(elapsed)}});
    emit(context, stop_process{});
}

struct event_visitor
{
    step_context& m_context;

    void operator()(const caller_request& e) { on_caller_request(m_context, e); }
    void operator()(const caller_disconnected& e) { on_caller_disconnected(m_context, e); }
    void operator()(const link_opened& e) { on_link_opened(m_context, e); }
    void operator()(const link_closed& e) { on_link_closed(m_context, e); }
    void operator()(const connect_failed& e) { on_connect_failed(m_context, e); }
    void operator()(const frame_received& e) { on_frame(m_context, e); }
    void operator()(const execution_ended& e) { on_execution_ended(m_context, e); }
    void operator()(const key_command_ended& e) { on_key_command_ended(m_context, e); }
    void operator()(const backend_checked& e) { on_backend_checked(m_context, e); }
    void operator()(const backend_announced& e)
    {
        on_backend_announced(m_context, e.m_announcement);
        respond_to_announcement(m_context, e);
    }
    void operator()(const backend_removed& e) { on_backend_removed(m_context, e); }
    void operator()(const departures_stored& e) { on_departures_stored(m_context, e.m_departed); }
    void operator()(const departures_read& e) { on_departures_read(m_context, e); }
    void operator()(const operator_documents& e) { on_operator_documents(m_context, e); }
    void operator()(const configuration_decoded& e) { on_configuration_decoded(m_context, e); }
    void operator()(const store_era_seen& e) { on_store_era(m_context, e.m_era); }
    void operator()(const table_read& e) { on_table_read(m_context, e); }
    void operator()(const table_written& e) { on_table_written(m_context, e); }
    void operator()(const nodes_listed& e) { on_nodes_listed(m_context, e); }
    void operator()(const timer_tick& /*e*/) { on_tick(m_context); }
    void operator()(const stop_requested& /*e*/)
    {
        if (m_context.m_state.m_stopping)
            return;
        m_context.m_state.m_stopping = true;
        m_context.m_state.m_stop_requested_at = m_context.m_now;
        log(m_context, log_level::info, "stop_requested",
            {{"open_requests", m_context.m_state.m_requests.size()}});
        broadcast_status(m_context);
    }
};

} // namespace

node_state make_node(const node_options& options, time_point now, std::uint64_t seed)
{
    node_state state;
    state.m_options = options;
    state.m_started_at = now;
    state.m_last_tick = now;
    state.m_current_announcements_from = now + options.m_max_announcement_delay;
    state.m_random.seed(seed);
    state.m_ownership.m_grants = key_ranges::make_grant_history(now);
    // Peers retain the frame ids of a previous incarnation for a while, so a restart must not reuse
    // them.
    state.m_next_frame = options.m_incarnation | 1U;
    return state;
}

effects step(node_state& state, const event& input, time_point now)
{
    effects result;
    step_context context{state, now, result};
    std::visit(event_visitor{context}, input);
    while (!state.m_loopback_frames.empty()) {
        const peer_frame frame = std::move(state.m_loopback_frames.front());
        state.m_loopback_frames.pop_front();
        dispatch_frame(context, loopback_link, state.m_options.m_node, frame);
    }
    check_stop(context);
    return result;
}

check_turn check_turn_of(const node_state& state)
{
    check_turn turn;
    for (const auto& [node, peer] : state.m_peers) {
        if (peer.m_link == 0 || !peer.m_handshake_complete)
            continue;
        ++turn.m_members;
        if (node < state.m_options.m_node)
            ++turn.m_rank;
    }
    return turn;
}

bool is_ready(const node_state& state)
{
    return state.m_active_configuration.m_configuration != nullptr && !state.m_stopping;
}

} // namespace azureladder::sidecar
