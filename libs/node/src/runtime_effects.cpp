#include "runtime_impl.hpp"

#include <azureladder/base/precondition.hpp>

namespace azureladder::node {

void runtime_impl::execute(const core::effect& order)
{
    std::visit([this](const auto& value) { apply(value); }, order);
}

void runtime_impl::apply(const core::send_message& order)
{
    m_peers.send(order);
}

void runtime_impl::apply(const core::store_read& order)
{
    m_store.read(order);
}

void runtime_impl::apply(const core::store_write& order)
{
    m_store.write(order);
}

void runtime_impl::apply(const core::dispatch_to_backend& order)
{
    const auto found = m_requests.find(order.m_token);
    AZURELADDER_PRECONDITION(found != m_requests.end(), "only open requests can be dispatched");
    m_backend.dispatch(order, found->second.m_info, found->second.m_message);
}

void runtime_impl::apply(const core::forward_request& order)
{
    const auto found = m_requests.find(order.m_token);
    AZURELADDER_PRECONDITION(found != m_requests.end(), "only open requests can be forwarded");
    m_peers.forward(order, found->second);
}

void runtime_impl::apply(const core::cancel_attempt& order)
{
    m_peers.cancel(order.m_token, order.m_attempt);
    const auto found = m_requests.find(order.m_token);
    if (found != m_requests.end())
        m_backend.cancel(order.m_token, order.m_attempt, found->second.m_info.m_request_id);
}

void runtime_impl::apply(const core::answer_with_reply& order)
{
    const auto found = m_requests.find(order.m_token);
    if (found == m_requests.end())
        return;
    const auto reply = found->second.m_replies.find(order.m_attempt);
    AZURELADDER_PRECONDITION(reply != found->second.m_replies.end(),
                             "an answer needs the reply of its attempt");
    auto content = std::move(reply->second);
    answer_reply(order.m_token, std::move(content));
}

void runtime_impl::apply(const core::answer_with_replay& order)
{
    http::response reply;
    reply.m_status = order.m_status;
    if (!order.m_content_type.empty())
        reply.m_headers.push_back({"Content-Type", order.m_content_type});
    reply.m_headers.push_back({"Idempotency-Replayed", "true"});
    reply.m_body = order.m_body;
    answer_reply(order.m_token, std::move(reply));
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
        frame.m_executed = stated_execution(reply);
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

void runtime_impl::apply(const core::answer_with_error& order)
{
    const auto found = m_requests.find(order.m_token);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (request.m_caller) {
        request.m_caller->set_value(error_response(order.m_code, order.m_message,
                                                   request.m_info.m_request_id, order.m_executed,
                                                   order.m_retry_after));
    } else {
        wire::reply_frame frame;
        frame.m_executed = order.m_executed;
        frame.m_result = wire::reply_error{order.m_code, order.m_message};
        end_peer_request(*request.m_origin, std::move(frame));
    }
    m_requests.erase(found);
}

void runtime_impl::apply(const core::extend_backend_lease& order)
{
    m_backend.extend_lease(m_state.m_incarnation, order.m_valid_until);
}

void runtime_impl::apply(const core::set_backend_grant& order)
{
    m_backend.set_grant(order);
}

void runtime_impl::apply(const core::write_log& order)
{
    m_logger.write(order.m_level, order.m_event, order.m_fields);
}

void runtime_impl::apply(const core::record_request& order)
{
    m_metrics.record_request(order.m_service, order.m_customer, order.m_class, order.m_outcome,
                             order.m_latency);
}

void runtime_impl::apply(const core::finish_stop& /*order*/)
{
    m_slices_released = true;
}

} // namespace azureladder::node
