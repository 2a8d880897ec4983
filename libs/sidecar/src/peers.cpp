#include "step_context.hpp"

#include <azureladder/sidecar/step.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Largest number of peers listed in a hello frame, and time for which a peer counts as new.
constexpr std::size_t max_hello_peers = 8;
constexpr duration new_peer_period = seconds(20);

/// Idle ping interval per known peer. The interval grows with the number of peers, so that the ping
/// rate of a node does not.
constexpr duration idle_ping_interval_per_peer = milliseconds(40);

/// Interval between checks of all peers for pings, timeouts and connections that are due: two
/// ticks, since a check visits all peers.
constexpr duration peer_check_interval = milliseconds(45);

hello_frame make_hello(const node_state& state, const peer_state& receiver, time_point now)
{
    hello_frame hello{state.m_options.m_node,
                      state.m_options.m_incarnation,
                      state.m_options.m_peer_address,
                      state.m_options.m_zone,
                      {},
                      receiver.m_departed_servers};
    for (const auto& [node, peer] : state.m_peers) {
        if (hello.m_known_nodes.size() >= max_hello_peers)
            break;
        // Lists recently joined nodes, which the receiver may not have discovered yet.
        if (peer.m_handshake_complete && now - peer.m_discovered_at < new_peer_period)
            hello.m_known_nodes[node] = peer.m_address;
    }
    return hello;
}

void update_peer_address(step_context& context, const std::string& node, const std::string& address)
{
    node_state& state = context.m_state;
    if (node.empty() || node == state.m_options.m_node || address.empty())
        return;
    auto [place, added] = state.m_peers.try_emplace(node);
    peer_state& peer = place->second;
    if (added) {
        state.m_peer_index.invalidate();
        peer.m_last_activity_at = context.m_now;
        peer.m_discovered_at = context.m_now;
    }
    if (peer.m_address == address)
        return;
    peer.m_address = address;
    peer.m_next_connect_at = context.m_now;
    peer.m_connect_backoff = state.m_options.m_min_connect_backoff;
}

/// Whether some peer runs a server of another service than this node.
bool has_other_services(const node_state& state)
{
    const std::string service = local_service(state);
    return std::any_of(state.m_peers.begin(), state.m_peers.end(), [&](const auto& entry) {
        const std::string& other = entry.second.m_status.m_service;
        return !other.empty() && other != service;
    });
}

status_frame make_status(const node_state& state, std::uint64_t sequence, time_point now)
{
    status_frame frame;
    frame.m_sequence = sequence;
    frame.m_status = status_of(state, now);
    if (has_other_services(state))
        frame.m_status.m_called_routes =
            routing::called_routes(state.m_request_origins, state.m_options.m_call_detection);
    frame.m_documents = received_revisions(state);
    frame.m_store_era = state.m_store_era;
    const std::string service = local_keyed_service(state);
    const auto table = state.m_tables.find(service);
    if (table != state.m_tables.end() && table->second.m_confirmed_at != time_point{})
        frame.m_confirmation_age_us[table_document(service)] =
            (now - table->second.m_confirmed_at).count();
    return frame;
}

/// Part of the status whose changes are broadcast at once. It is compared at each tick, so it
/// avoids the cost of the full report.
std::string significant_status(const node_state& state, time_point now)
{
    const bool open = accepts_requests(state, now) && state.m_admission_controller.m_limit > 0;
    return local_service(state) + '|' + local_owner_incarnation(state) + '|' +
           (open ? "open" : "closed") + (state.m_stopping ? "|leaving" : "") +
           (counts_quotas(state, now) ? "|quotas" : "");
}

void drop_link(step_context& context, const std::string& node, peer_state& peer)
{
    if (peer.m_link == 0)
        return;
    context.m_state.m_node_of_link.erase(peer.m_link);
    peer.m_link = 0;
    peer.m_handshake_complete = false;
    peer.m_ping_pending = false;
    peer.m_next_connect_at = context.m_now;
    log(context, log_level::warning, "peer_lost", {{"peer", node}});
    on_peer_link_lost(context, node);
}

void connect_if_due(step_context& context, const std::string& node, peer_state& peer)
{
    if (peer.m_link != 0 || peer.m_connecting || context.m_now < peer.m_next_connect_at)
        return;
    peer.m_connecting = true;
    emit(context, connect_node{node, peer.m_address});
}

} // namespace

void ping(step_context& context, peer_state& peer)
{
    peer.m_ping_sent_at = context.m_now;
    peer.m_ping_pending = true;
    send_on_link(context, peer.m_link, ping_frame{++peer.m_ping_sequence, to_us(context.m_now)});
}

node_status status_of(const node_state& state, time_point now)
{
    node_status status;
    status.m_service = local_service(state);
    status.m_server_incarnation = local_owner_incarnation(state);
    status.m_report =
        routing::make_load_report(state.m_admission_controller, accepts_requests(state, now), now,
                                  state.m_options.m_admission_options);
    status.m_leaving = state.m_stopping;
    status.m_counts_quotas = counts_quotas(state, now);
    status.m_key_utilization = key_utilization(state, now);
    status.m_link_mbps = state.m_options.m_link_mbps;
    status.m_owner_report = owner_report(state);
    status.m_owns_keys = !state.m_ownership.m_leases.empty();
    status.m_departed_servers = state.m_departed_servers;
    status.m_calls_per_execution = routing::calls_per_execution(state.m_nested_calls);
    return status;
}

bool is_usable(const node_state& state, const peer_state& peer, time_point now)
{
    if (peer.m_link == 0 || !peer.m_handshake_complete)
        return false;
    return !peer.m_ping_pending || now - peer.m_ping_sent_at < state.m_options.m_ping_timeout;
}

void send_on_link(step_context& context, std::uint64_t link, peer_frame frame)
{
    if (link == loopback_link)
        context.m_state.m_loopback_frames.push_back(std::move(frame));
    else
        emit(context, send_frame{link, std::move(frame)});
}

bool send_to_node(step_context& context, const std::string& node, peer_frame frame)
{
    if (node == context.m_state.m_options.m_node) {
        send_on_link(context, loopback_link, std::move(frame));
        return true;
    }
    const auto peer = context.m_state.m_peers.find(node);
    if (peer == context.m_state.m_peers.end() || peer->second.m_link == 0)
        return false;
    send_on_link(context, peer->second.m_link, std::move(frame));
    return true;
}

duration record_frame_delay(step_context& context, std::uint64_t link, std::int64_t sent_us)
{
    const auto accepted = context.m_state.m_accepted_links.find(link);
    if (accepted == context.m_state.m_accepted_links.end() || sent_us == 0)
        return duration::zero();
    return record_frame(accepted->second.m_delay, duration(sent_us), context.m_now);
}

void send_status(step_context& context, std::uint64_t link)
{
    send_on_link(context, link, make_status(context.m_state, 0, context.m_now));
}

void broadcast_status(step_context& context)
{
    node_state& state = context.m_state;
    state.m_last_broadcast_status = significant_status(state, context.m_now);
    const status_frame frame = make_status(state, 0, context.m_now);
    for (const auto& [link, accepted] : state.m_accepted_links)
        emit(context, send_frame{link, frame});
}

void on_link_opened(step_context& context, const link_opened& opened)
{
    node_state& state = context.m_state;
    if (opened.m_node.empty())
        return;
    const auto found = state.m_peers.find(opened.m_node);
    if (found == state.m_peers.end() || found->second.m_link != 0) {
        emit(context, close_link{opened.m_link});
        return;
    }
    peer_state& peer = found->second;
    peer.m_connecting = false;
    peer.m_link = opened.m_link;
    peer.m_handshake_complete = false;
    peer.m_last_activity_at = context.m_now;
    state.m_node_of_link[opened.m_link] = opened.m_node;
    send_on_link(context, opened.m_link, make_hello(state, peer, context.m_now));
}

void on_link_closed(step_context& context, const link_closed& closed)
{
    node_state& state = context.m_state;
    on_origin_link_lost(context, closed.m_link);
    state.m_accepted_links.erase(closed.m_link);
    const auto found = state.m_node_of_link.find(closed.m_link);
    if (found == state.m_node_of_link.end())
        return;
    const std::string node = found->second;
    state.m_node_of_link.erase(found);
    const auto peer = state.m_peers.find(node);
    if (peer != state.m_peers.end() && peer->second.m_link == closed.m_link)
        drop_link(context, node, peer->second);
}

void on_connect_failed(step_context& context, const connect_failed& failed)
{
    const auto found = context.m_state.m_peers.find(failed.m_node);
    if (found == context.m_state.m_peers.end())
        return;
    peer_state& peer = found->second;
    const node_options& options = context.m_state.m_options;
    peer.m_connecting = false;
    peer.m_next_connect_at = context.m_now + peer.m_connect_backoff;
    peer.m_connect_backoff = std::clamp(peer.m_connect_backoff * 2, options.m_min_connect_backoff,
                                        options.m_max_connect_backoff);
}

void on_nodes_listed(step_context& context, const nodes_listed& listed)
{
    for (const auto& [node, address] : listed.m_addresses)
        update_peer_address(context, node, address);
    // A node that can't read them itself receives them when it is connected.
    for (const auto& [node, departed] : listed.m_departed_servers) {
        const auto peer = context.m_state.m_peers.find(node);
        if (peer != context.m_state.m_peers.end())
            merge(peer->second.m_departed_servers, departed);
    }
    adopt_peer_departures(context);
    context.m_state.m_quotas.m_known_nodes = std::max<std::size_t>(listed.m_addresses.size(), 1);
}

void on_hello(step_context& context, std::uint64_t link, const hello_frame& frame)
{
    node_state& state = context.m_state;
    if (frame.m_node == state.m_options.m_node) {
        emit(context, close_link{link});
        return;
    }
    const auto known = state.m_node_of_link.find(link);
    const bool accepted = known == state.m_node_of_link.end();
    if (!accepted && known->second != frame.m_node) {
        // A different node uses this address now.
        log(context, log_level::warning, "peer_address_reused",
            {{"expected", known->second}, {"found", frame.m_node}});
        const std::string former = known->second;
        emit(context, close_link{link});
        drop_link(context, former, state.m_peers[former]);
        state.m_peers.erase(former);
        state.m_peer_index.invalidate();
        update_peer_address(context, frame.m_node, frame.m_address);
        return;
    }
    update_peer_address(context, frame.m_node, frame.m_address);
    for (const auto& [node, address] : frame.m_known_nodes) {
        if (state.m_peers.count(node) == 0)
            update_peer_address(context, node, address);
    }
    const auto [place, added] = state.m_peers.try_emplace(frame.m_node);
    if (added)
        state.m_peer_index.invalidate();
    peer_state& peer = place->second;
    peer.m_zone = frame.m_zone;
    peer.m_last_activity_at = context.m_now;
    record_departures(context, frame.m_departed_servers);
    if (accepted) {
        state.m_node_of_link[link] = frame.m_node;
        accepted_link& opened = state.m_accepted_links[link];
        opened.m_incarnation = frame.m_incarnation;
        opened.m_last_frame_at = context.m_now;
        on_origin_connected(context, frame.m_node, frame.m_incarnation);
        // The peer is reachable, so the connect backoff ends.
        if (peer.m_link == 0)
            peer.m_next_connect_at = context.m_now;
        send_on_link(context, link, make_hello(state, peer, context.m_now));
        send_on_link(context, link, make_status(state, 0, context.m_now));
        return;
    }
    peer.m_incarnation = frame.m_incarnation;
    peer.m_handshake_complete = true;
    peer.m_connect_backoff = state.m_options.m_min_connect_backoff;
    log(context, log_level::info, "peer_connected",
        {{"peer", frame.m_node}, {"peer_incarnation", frame.m_incarnation}});
    ping(context, peer);
    on_peer_connected(context, frame.m_node);
}

void on_ping(step_context& context, std::uint64_t link, const ping_frame& frame)
{
    record_frame_delay(context, link, frame.m_sent_us);
    send_on_link(context, link, make_status(context.m_state, frame.m_sequence, context.m_now));
}

void on_status(step_context& context, std::uint64_t link, const status_frame& frame)
{
    node_state& state = context.m_state;
    const auto node = state.m_node_of_link.find(link);
    if (node == state.m_node_of_link.end())
        return;
    const auto found = state.m_peers.find(node->second);
    if (found == state.m_peers.end() || found->second.m_link != link)
        return;
    on_store_era(context, frame.m_store_era);
    peer_state& peer = found->second;
    const bool was_open = peer.m_status.m_report.m_open;
    if (peer.m_status.m_service != frame.m_status.m_service)
        state.m_peer_index.invalidate();
    peer.m_status = frame.m_status;
    if (merge(peer.m_departed_servers, frame.m_status.m_departed_servers))
        adopt_peer_departures(context);
    peer.m_reported_at = context.m_now;
    peer.m_sent_since_status = 0;
    const bool answers_ping = peer.m_ping_pending && frame.m_sequence == peer.m_ping_sequence;
    if (answers_ping) {
        peer.m_ping_pending = false;
        auto& cancels = peer.m_unconfirmed_cancels;
        while (!cancels.empty() && cancels.front().m_sent_at < peer.m_ping_sent_at)
            cancels.pop_front();
        peer.m_round_trip = (peer.m_round_trip * 3 + (context.m_now - peer.m_ping_sent_at)) / 4;
        for (const auto& [name, age] : frame.m_confirmation_age_us) {
            for (auto& [service, table] : state.m_tables) {
                const auto revision = frame.m_documents.find(name);
                if (table_document(service) != name || revision == frame.m_documents.end() ||
                    revision->second != table.m_revision)
                    continue;
                // The peer responded after the ping was sent, so the computed time is not later
                // than the true confirmation.
                table.m_confirmed_at =
                    std::max(table.m_confirmed_at, peer.m_ping_sent_at - duration(age));
            }
        }
    }
    on_peer_revisions(context, link, frame.m_documents);
    if (!was_open && peer.m_status.m_report.m_open)
        retry_waiting_requests(context);
}

void restart_resume_windows(step_context& context)
{
    const auto restart = [&](time_point& link_lost_at) {
        if (link_lost_at != time_point{})
            link_lost_at = context.m_now;
    };
    for (auto& [caller, request] : context.m_state.m_requests) {
        for (auto& attempt : request.m_attempts)
            restart(attempt.m_link_lost_at);
    }
    for (auto& [id, execution] : context.m_state.m_executions)
        restart(execution.m_link_lost_at);
}

void check_peers(step_context& context)
{
    node_state& state = context.m_state;
    if (significant_status(state, context.m_now) != state.m_last_broadcast_status)
        broadcast_status(context);
    if (context.m_now < state.m_next_peer_check_at)
        return;
    state.m_next_peer_check_at = context.m_now + peer_check_interval;
    const node_options& options = state.m_options;
    const std::string keyed_service = local_keyed_service(state);
    for (auto it = state.m_peers.begin(); it != state.m_peers.end();) {
        auto& [node, peer] = *it;
        if (peer.m_link == 0 &&
            context.m_now - peer.m_last_activity_at > options.m_forget_peer_after) {
            log(context, log_level::info, "peer_forgotten", {{"peer", node}});
            it = state.m_peers.erase(it);
            state.m_peer_index.invalidate();
            continue;
        }
        if (peer.m_link != 0) {
            const duration silence =
                context.m_now - std::max(peer.m_last_activity_at, peer.m_ping_sent_at);
            const duration waited = context.m_now - peer.m_ping_sent_at;
            const bool serves_same_keys =
                !keyed_service.empty() && peer.m_status.m_service == keyed_service;
            const duration interval =
                peer.m_open_requests > 0 ? options.m_busy_ping_interval
                : serves_same_keys       ? options.m_idle_ping_interval
                                         : std::max(options.m_idle_ping_interval,
                                                    idle_ping_interval_per_peer *
                                                        static_cast<std::int64_t>(state.m_peers.size()));
            if ((peer.m_ping_pending && waited > options.m_reconnect_after) ||
                (!peer.m_handshake_complete && silence > options.m_reconnect_after)) {
                emit(context, close_link{peer.m_link});
                drop_link(context, node, peer);
            } else if (peer.m_handshake_complete && !peer.m_ping_pending && silence >= interval) {
                ping(context, peer);
            }
        }
        connect_if_due(context, node, peer);
        ++it;
    }
}

} // namespace azureladder::sidecar
