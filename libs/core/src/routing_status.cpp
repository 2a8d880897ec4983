#include <azureladder/core/routing.hpp>

#include "routing_internal.hpp"

/// Routing data for the status page.
namespace azureladder::core {

namespace {

json queue_status(const node_state& state)
{
    json result = json::object();
    for (const auto& row : request_class_names)
        result[std::string(row.m_name)] =
            state.m_routing.m_queue.m_queues[static_cast<std::size_t>(row.m_value)].size();
    return result;
}

json upstream_status(const member_id& member, const upstream_stats& upstream)
{
    return {{"node", member.m_node},
            {"incarnation", member.m_incarnation},
            {"in_flight", upstream.m_in_flight},
            {"latency_us", upstream.m_latency_us},
            {"window", upstream.m_window},
            {"ejected", upstream.m_ejected},
            {"reported_load", upstream.m_reported_load}};
}

json service_status(const node_state& state, const service_stats& service, time_point now)
{
    json upstreams = json::array();
    for (const auto& [member, upstream] : service.m_upstreams)
        upstreams.push_back(upstream_status(member, upstream));
    const auto& options = state.m_options;
    return {{"upstreams", std::move(upstreams)},
            {"hedge_delay_us", service.m_hedge_delay.count()},
            {"retries_left",
             remaining_attempts(service.m_retries, now, options.m_retry_budget_permille)},
            {"hedges_left",
             remaining_attempts(service.m_hedges, now, options.m_hedge_budget_permille)}};
}

} // namespace

json routing_status(const node_state& state, time_point now)
{
    const auto& routing = state.m_routing;
    json services = json::object();
    for (const auto& [name, service] : routing.m_services)
        services[name] = service_status(state, service, now);
    return {{"open_requests", routing.m_requests.size()},
            {"waiting_for_owner", routing.m_waiting.size()},
            {"queued", queue_status(state)},
            {"limit", current_limit(routing.m_limit)},
            {"limit_maximum", routing.m_limit.m_maximum},
            {"slow_start", routing.m_limit.m_slow_start},
            {"in_flight", routing.m_limit.m_in_flight},
            {"backend_ready", backend_ready(state, now)},
            {"services", std::move(services)}};
}

} // namespace azureladder::core
