#include "ingress_internal.hpp"

#include <azureladder/routing/scaled_duration.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace azureladder::sidecar {

namespace {

/// Delay before a token is requested again after a node has answered that it does not count.
constexpr duration ask_again_delay = milliseconds(50);

/// Retry-After of a request whose quota can't be checked: another node counts by then.
constexpr duration unknown_quota_retry_after = milliseconds(600);

/// Sends the token of a request that the counting node has granted back to it.
void send_quota_return(step_context& context, const std::string& node,
                       const std::string& organisation, std::int64_t granted_us)
{
    send_to_node(context, node, quota_return_frame{organisation, granted_us});
}

/// Ends the wait for the counting node: the request takes a token of this node's own share, or is
/// refused.
void use_fallback(step_context& context, open_request& request, const routing::quota_limit& limit)
{
    quota_counting& quotas = context.m_state.m_quotas;
    routing::fallback_bucket& bucket = quotas.m_fallbacks[request.m_request->m_organisation];
    const std::size_t known = std::max(quotas.m_known_nodes, context.m_state.m_peers.size() + 1);
    const bool is_granted = routing::take_fallback_token(bucket, limit, known, context.m_now);
    json fields = request_fields(request);
    fields["asked"] = request.m_quota.m_node;
    fields["granted"] = is_granted;
    log(context, log_level::info, "quota_unanswered", std::move(fields));
    if (is_granted) {
        request.m_quota.m_state = quota_state::from_fallback;
        dispatch(context, request);
        return;
    }
    request.m_quota.m_state = quota_state::none;
    request.m_last_cause = "the quota of the organisation can't be checked";
    finish_with_status(context, request, 503, "refused", unknown_quota_retry_after);
}

void ask_counting_node(step_context& context, open_request& request,
                       const routing::quota_limit& limit)
{
    const std::string& organisation = request.m_request->m_organisation;
    quota_token& token = request.m_quota;
    token.m_node = counting_node_of(context.m_state, organisation, context.m_now);
    token.m_ask_at = {};
    if (!send_to_node(context, token.m_node,
                      quota_request_frame{request.m_caller, organisation, limit}))
        token.m_ask_at = context.m_now + ask_again_delay;
}

/// Whether the counting node has to be asked again: it is due, or the asked node may not answer.
bool has_to_ask_again(const node_state& state, const quota_token& token, time_point now)
{
    if (token.m_ask_at != time_point{})
        return now >= token.m_ask_at;
    if (token.m_node == state.m_options.m_node)
        return false;
    const auto peer = state.m_peers.find(token.m_node);
    return peer == state.m_peers.end() || !is_usable(state, peer->second, now);
}

} // namespace

std::optional<caller_refusal> identify_caller(const routing::routing_configuration& configuration,
                                              const routing::route& route,
                                              const caller_request& arrived,
                                              forwarded_request& forwarded)
{
    if (!configuration.m_has_organisations) {
        forwarded.m_headers.insert(forwarded.m_headers.end(),
                                   arrived.m_organisation_headers.begin(),
                                   arrived.m_organisation_headers.end());
        return std::nullopt;
    }
    if (!arrived.m_api_key) {
        if (route.m_allows_anonymous)
            return std::nullopt;
        return caller_refusal{401, "the route requires the key of an organisation"};
    }
    const auto name = configuration.m_organisation_of_key.find(*arrived.m_api_key);
    if (name == configuration.m_organisation_of_key.end()) {
        if (configuration.m_has_unreadable_keys)
            return caller_refusal{503, "the configuration has unreadable keys of organisations"};
        return caller_refusal{401, "unknown key"};
    }
    const auto found = configuration.m_organisations.find(name->second);
    if (found == configuration.m_organisations.end() || found->second.m_is_unusable)
        return caller_refusal{503, "the configuration of the organisation is unusable"};
    forwarded.m_organisation = found->second.m_name;
    forwarded.m_organisation_priority = found->second.m_priority;
    return std::nullopt;
}

void take_quota_and_dispatch(step_context& context, open_request& request)
{
    const node_state& state = context.m_state;
    const std::string& organisation = request.m_request->m_organisation;
    const routing::organisation* known =
        organisation.empty() ? nullptr : find_organisation(state, organisation);
    if (known == nullptr || !routing::is_limited(known->m_limit)) {
        dispatch(context, request);
        return;
    }
    request.m_quota.m_state = quota_state::waiting;
    request.m_quota.m_wait_until =
        context.m_now +
        routing::scaled(request.m_latency_objective, state.m_options.m_quota_wait_share);
    ask_counting_node(context, request, known->m_limit);
}

void return_quota_token(step_context& context, open_request& request)
{
    if (request.m_quota.m_state == quota_state::granted)
        send_quota_return(context, request.m_quota.m_node, request.m_request->m_organisation,
                          request.m_quota.m_granted_us);
    request.m_quota.m_state = quota_state::none;
}

void on_quota_answer(step_context& context, const std::string& node,
                     const quota_answer_frame& frame)
{
    node_state& state = context.m_state;
    const auto found = state.m_requests.find(frame.m_id);
    open_request* request = found == state.m_requests.end() ? nullptr : &found->second;
    const quota_state waits_for = request == nullptr ? quota_state::none : request->m_quota.m_state;
    const bool is_waiting = waits_for == quota_state::waiting;
    if (frame.m_answer != quota_answer::not_counting)
        state.m_quotas.m_fallbacks.erase(frame.m_organisation);
    switch (frame.m_answer) {
    case quota_answer::granted:
        if (!is_waiting && waits_for != quota_state::from_fallback) {
            send_quota_return(context, node, frame.m_organisation, frame.m_granted_us);
            return;
        }
        request->m_quota.m_state = quota_state::granted;
        request->m_quota.m_node = node;
        request->m_quota.m_granted_us = frame.m_granted_us;
        if (is_waiting)
            dispatch(context, *request);
        return;
    case quota_answer::refused:
        if (!is_waiting)
            return;
        request->m_quota.m_state = quota_state::none;
        request->m_last_cause = "the organisation is beyond its quota";
        finish_with_status(context, *request, 429, "over_quota",
                           std::max(duration(frame.m_retry_after_us), duration(milliseconds(1))));
        return;
    case quota_answer::not_counting:
        if (is_waiting && request->m_quota.m_node == node &&
            request->m_quota.m_ask_at == time_point{})
            request->m_quota.m_ask_at = context.m_now + ask_again_delay;
        return;
    }
}

void check_quota_waits(step_context& context)
{
    node_state& state = context.m_state;
    std::vector<std::uint64_t> due;
    for (const auto& [caller, request] : state.m_requests) {
        if (request.m_quota.m_state == quota_state::waiting &&
            (context.m_now >= request.m_quota.m_wait_until ||
             has_to_ask_again(state, request.m_quota, context.m_now)))
            due.push_back(caller);
    }
    for (const std::uint64_t caller : due) {
        open_request& request = state.m_requests.at(caller);
        const routing::organisation* known =
            find_organisation(state, request.m_request->m_organisation);
        if (known == nullptr || known->m_is_unusable) {
            request.m_last_cause = "the organisation was removed from the configuration";
            finish_with_status(context, request, 503, "refused", default_retry_after);
        } else if (context.m_now >= request.m_quota.m_wait_until) {
            use_fallback(context, request, known->m_limit);
        } else {
            ask_counting_node(context, request, known->m_limit);
        }
    }
}

} // namespace azureladder::sidecar
