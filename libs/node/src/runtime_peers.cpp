#include "runtime_impl.hpp"

namespace azureladder::node {

peer_gateway_callbacks runtime_impl::make_peer_callbacks()
{
    peer_gateway_callbacks callbacks;
    callbacks.m_on_message = [this](core::message_received input) { handle(input); };
    callbacks.m_on_request = [this](const peer_origin& origin, wire::request_frame frame) {
        start_peer_request(origin, std::move(frame));
    };
    callbacks.m_on_cancel = [this](const wire::correlation& correlation) {
        cancel_peer_request(correlation);
    };
    callbacks.m_on_attempt_finished = [this](core::attempt_finished finished,
                                             http::response reply) {
        finish_attempt(std::move(finished), std::move(reply));
    };
    callbacks.m_on_late_reply = [this](const member_id& from) {
        m_metrics.add_counter("late_replies_total", 1);
        m_logger.write(log_level::debug, "late_reply_dropped", {{"from", from.m_node}});
    };
    callbacks.m_on_invalid_input = [this](const std::string& reason) {
        m_metrics.add_counter("invalid_peer_messages_total", 1);
        m_logger.write(log_level::warning, "invalid_peer_message", {{"reason", reason}});
    };
    return callbacks;
}

void runtime_impl::start_peer_request(const peer_origin& origin, wire::request_frame frame)
{
    const auto& correlation = origin.m_correlation;
    const auto key = std::make_pair(correlation.m_incarnation, correlation.m_counter);
    if (m_peer_requests.count(key) != 0)
        return; // duplicate frame
    const auto token = ++m_last_token;
    m_peer_requests[key] = token;
    open_request request;
    auto& info = request.m_info;
    info.m_request_id = std::move(frame.m_request_id);
    info.m_service = std::move(frame.m_service);
    info.m_customer = std::move(frame.m_customer);
    info.m_class = frame.m_class;
    info.m_key = std::move(frame.m_key);
    info.m_idempotency_key = std::move(frame.m_idempotency_key);
    info.m_idempotent = frame.m_idempotent;
    info.m_timeout = milliseconds(frame.m_remaining_ms);
    info.m_forwarded_by = origin.m_entry.m_node;
    info.m_claimed = frame.m_claimed;
    request.m_message.m_method = std::move(frame.m_method);
    request.m_message.m_target = std::move(frame.m_target);
    for (auto& field : frame.m_headers)
        request.m_message.m_headers.push_back({std::move(field.first), std::move(field.second)});
    request.m_message.m_body = std::move(frame.m_body);
    request.m_origin = origin;
    const core::request_arrived arrived{token, info};
    m_requests.emplace(token, std::move(request));
    handle(arrived);
}

void runtime_impl::cancel_peer_request(const wire::correlation& correlation)
{
    const auto found = m_peer_requests.find({correlation.m_incarnation, correlation.m_counter});
    if (found != m_peer_requests.end())
        handle(core::request_abandoned{found->second});
}

void runtime_impl::finish_attempt(core::attempt_finished finished, http::response reply)
{
    const auto found = m_requests.find(finished.m_token);
    if (found != m_requests.end() && finished.m_outcome == core::attempt_outcome::answered)
        found->second.m_replies[finished.m_attempt] = std::move(reply);
    handle(finished);
}

} // namespace azureladder::node
