#include "runtime_impl.hpp"

#include <azureladder/base/precondition.hpp>

namespace azureladder::node {

void runtime_impl::execute(const core::effect& requested_effect)
{
    std::visit([this](const auto& value) { apply(value); }, requested_effect);
}

void runtime_impl::apply(const core::send_message& requested_effect)
{
    m_peers.send(requested_effect);
}

void runtime_impl::apply(const core::store_read& requested_effect)
{
    m_store.read(requested_effect);
}

void runtime_impl::apply(const core::store_write& requested_effect)
{
    m_store.write(requested_effect);
}

void runtime_impl::apply(const core::dispatch_to_backend& requested_effect)
{
    const auto found = m_requests.find(requested_effect.m_token);
    AZURELADDER_PRECONDITION(found != m_requests.end(), "only open requests can be dispatched");
    m_backend.dispatch(requested_effect, found->second.m_info, found->second.m_message);
}

void runtime_impl::apply(const core::forward_request& requested_effect)
{
    const auto found = m_requests.find(requested_effect.m_token);
    AZURELADDER_PRECONDITION(found != m_requests.end(), "only open requests can be forwarded");
    m_peers.forward(requested_effect, found->second);
}

void runtime_impl::apply(const core::cancel_attempt& requested_effect)
{
    m_peers.cancel(requested_effect.m_token, requested_effect.m_attempt);
    const auto found = m_requests.find(requested_effect.m_token);
    if (found != m_requests.end())
        m_backend.cancel(requested_effect.m_token, requested_effect.m_attempt,
                         found->second.m_info.m_request_id);
}

void runtime_impl::apply(const core::answer_with_reply& requested_effect)
{
    const auto found = m_requests.find(requested_effect.m_token);
    if (found == m_requests.end())
        return;
    const auto reply = found->second.m_replies.find(requested_effect.m_attempt);
    AZURELADDER_PRECONDITION(reply != found->second.m_replies.end(),
                             "an answer needs the reply of its attempt");
    auto content = std::move(reply->second);
    answer_reply(requested_effect.m_token, std::move(content));
}

void runtime_impl::apply(const core::answer_with_replay& requested_effect)
{
    http::response reply;
    reply.m_status = requested_effect.m_status;
    if (!requested_effect.m_content_type.empty())
        reply.m_headers.push_back({"Content-Type", requested_effect.m_content_type});
    reply.m_headers.push_back({"Idempotency-Replayed", "true"});
    reply.m_body = requested_effect.m_body;
    answer_reply(requested_effect.m_token, std::move(reply));
}

void runtime_impl::answer_reply(core::request_token token, http::response reply)
{
    const auto found = m_requests.find(token);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (request.m_caller) {
        request.m_caller->set_value(reply_response(std::move(reply), request.m_info.m_request_id));
    } else {
        wire::reply_frame frame;
        frame.m_executed = reported_execution(reply);
        wire::reply_content content;
        content.m_status = reply.m_status;
        for (auto& field : reply.m_headers)
            content.m_headers.emplace_back(std::move(field.m_name), std::move(field.m_value));
        content.m_body_length = reply.m_body.size();
        content.m_body = std::move(reply.m_body);
        frame.m_result = std::move(content);
        if (m_state.m_backend)
            frame.m_reported_load = m_state.m_backend->m_load;
        end_peer_request(*request.m_origin, std::move(frame));
    }
    m_requests.erase(found);
}

void runtime_impl::end_peer_request(const peer_origin& origin, wire::reply_frame frame)
{
    m_peers.reply(origin, std::move(frame));
    m_peer_requests.erase({origin.m_correlation.m_incarnation, origin.m_correlation.m_counter});
}

void runtime_impl::apply(const core::answer_with_error& requested_effect)
{
    const auto found = m_requests.find(requested_effect.m_token);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (request.m_caller) {
        request.m_caller->set_value(error_response(
            requested_effect.m_code, requested_effect.m_message, request.m_info.m_request_id,
            requested_effect.m_executed, requested_effect.m_retry_after));
    } else {
        wire::reply_frame frame;
        frame.m_executed = requested_effect.m_executed;
        frame.m_result = wire::reply_error{requested_effect.m_code, requested_effect.m_message};
        end_peer_request(*request.m_origin, std::move(frame));
    }
    m_requests.erase(found);
}

void runtime_impl::apply(const core::extend_backend_lease& requested_effect)
{
    m_backend.extend_lease(m_state.m_incarnation, requested_effect.m_valid_until);
}

void runtime_impl::apply(const core::set_backend_grant& requested_effect)
{
    m_backend.set_grant(requested_effect);
}

void runtime_impl::apply(const core::write_log& requested_effect)
{
    m_logger.write(requested_effect.m_level, requested_effect.m_event, requested_effect.m_fields);
}

void runtime_impl::apply(const core::record_request& requested_effect)
{
    m_metrics.record_request(requested_effect.m_service, requested_effect.m_customer,
                             requested_effect.m_class, requested_effect.m_outcome,
                             requested_effect.m_latency);
}

void runtime_impl::apply(const core::finish_stop& /*order*/)
{
    m_slices_released = true;
}

} // namespace azureladder::node
