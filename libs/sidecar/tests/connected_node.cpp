#include "connected_node.hpp"

namespace azureladder::sidecar {

std::shared_ptr<const routing::routing_configuration> make_configuration()
{
    auto result = std::make_shared<routing::routing_configuration>();
    result->m_version = 1;
    routing::route plain;
    plain.m_name = "plain";
    plain.m_host = "orders";
    plain.m_prefix = "/";
    plain.m_kind = routing::request_kind::idempotent;
    plain.m_timeout = milliseconds(2000);
    plain.m_latency_objective = milliseconds(1000);
    plain.m_priority = 1;
    plain.m_attempt_limit = 2;
    plain.m_services = {{"orders", 1}};
    result->m_routes = {plain};
    result->m_services["orders"].m_name = "orders";
    routing::index_routes(*result);
    return result;
}

node_state make_connected_node(const std::vector<std::string>& peers, const std::string& service)
{
    node_options options;
    options.m_node = "ingress";
    options.m_service = service;
    node_state state = make_node(options, start_time, 1);
    step(state, configuration_decoded{5, "text", make_configuration()}, start_time);
    nodes_listed listed;
    for (const auto& peer : peers)
        listed.m_addresses[peer] = peer + ":0";
    step(state, listed, start_time);
    step(state, timer_tick{}, start_time);
    std::uint64_t link = 0;
    for (const auto& peer : peers) {
        step(state, link_opened{++link, peer}, start_time);
        step(state, frame_received{link, hello_frame{peer, 1, peer + ":0", "", {}, {}}},
             start_time);
        status_frame status;
        status.m_sequence = 1;
        status.m_status.m_service = "orders";
        status.m_status.m_report.m_open = true;
        status.m_status.m_report.m_limit = 4;
        step(state, frame_received{link, status}, start_time);
    }
    return state;
}

std::pair<std::uint64_t, std::uint64_t> sent_request(const effects& done)
{
    for (const auto& effect : done) {
        const auto* sent = std::get_if<send_frame>(&effect);
        if (sent == nullptr)
            continue;
        if (const auto* request = std::get_if<request_frame>(&sent->m_frame))
            return {sent->m_link, request->m_id};
    }
    return {0, 0};
}

std::vector<std::uint64_t> cancelled_requests(const effects& done, std::uint64_t link)
{
    std::vector<std::uint64_t> result;
    for (const auto& effect : done) {
        const auto* sent = std::get_if<send_frame>(&effect);
        if (sent == nullptr || sent->m_link != link)
            continue;
        if (const auto* cancelled = std::get_if<cancel_frame>(&sent->m_frame))
            result.push_back(cancelled->m_id);
    }
    return result;
}

effects reconnect(node_state& state, std::uint64_t link, std::uint64_t incarnation, time_point now)
{
    step(state, timer_tick{}, now);
    step(state, link_opened{link, "a"}, now);
    return step(state, frame_received{link, hello_frame{"a", incarnation, "a:0", "", {}, {}}}, now);
}

void answer_pings(node_state& state, const effects& done, std::uint64_t link, time_point now)
{
    for (const auto& effect : done) {
        const auto* sent = std::get_if<send_frame>(&effect);
        if (sent == nullptr || sent->m_link != link ||
            !std::holds_alternative<ping_frame>(sent->m_frame))
            continue;
        status_frame status;
        status.m_sequence = std::get<ping_frame>(sent->m_frame).m_sequence;
        status.m_status.m_service = "orders";
        status.m_status.m_report.m_open = true;
        status.m_status.m_report.m_limit = 4;
        step(state, frame_received{link, status}, now);
    }
}

caller_request make_request()
{
    caller_request request;
    request.m_caller = 1;
    request.m_request.m_request_id = "r1";
    request.m_request.m_host = "orders";
    request.m_request.m_target = "/x";
    request.m_request.m_key = 4711;
    request.m_remaining = milliseconds(1500);
    return request;
}

int response_status(const effects& done)
{
    for (const auto& effect : done) {
        if (const auto* response = std::get_if<respond_to_caller>(&effect))
            return response->m_status;
        if (const auto* forwarded = std::get_if<forward_response>(&effect))
            return forwarded->m_response->m_status;
    }
    return 0;
}

} // namespace azureladder::sidecar
