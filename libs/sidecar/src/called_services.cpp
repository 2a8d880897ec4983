#include "step_context.hpp"

#include <azureladder/routing/call_shortage.hpp>

#include <algorithm>

namespace azureladder::sidecar {

void check_called_services(step_context& context)
{
    node_state& state = context.m_state;
    const auto& options = state.m_options.m_call_shortage;
    double share = 1.0;
    duration longest_wait{};
    std::string scarce;
    for (const auto& [service, calls] : routing::calls_per_execution(state.m_nested_calls)) {
        if (calls < options.m_min_calls || service == local_service(state))
            continue;
        std::vector<routing::called_server> servers;
        for (const auto* entry : state.m_peer_index.peers_of(state.m_peers, service)) {
            const peer_state& peer = entry->second;
            const auto& report = peer.m_status.m_report;
            servers.push_back({report.m_open && is_usable(state, peer, context.m_now),
                               report.m_limit, report.m_call_wait,
                               context.m_now - peer.m_reported_at});
        }
        const duration wait = routing::mean_call_wait(servers, options);
        if (wait <= longest_wait)
            continue;
        longest_wait = wait;
        scarce = service;
        share = routing::admissible_share(wait, options);
    }
    double& current = state.m_admission_controller.m_new_request_share;
    if ((share < 1.0) != (current < 1.0)) {
        json fields{{"share", share}};
        if (share < 1.0)
            fields["service"] = scarce;
        if (share < 1.0 && longest_wait != duration::max())
            fields["call_wait_ms"] = to_ms(longest_wait);
        if (share >= 1.0)
            fields["lasted_ms"] = to_ms(context.m_now - state.m_call_shortage_since);
        state.m_call_shortage_since = context.m_now;
        log(context, log_level::info, share < 1.0 ? "calls_scarce" : "calls_sufficient",
            std::move(fields));
    }
    current = share;
}

} // namespace azureladder::sidecar
