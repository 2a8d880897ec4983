#include "peer_gateway.hpp"

#include "caller_request.hpp"

#include <algorithm>

namespace azureladder::node {

namespace {

http::response to_response(const wire::reply_content& content)
{
    http::response reply;
    reply.m_status = content.m_status;
    for (const auto& field : content.m_headers)
        reply.m_headers.push_back({field.first, field.second});
    reply.m_body = content.m_body;
    return reply;
}

/// An error reply proves that the request was not executed only if its execution state is "no".
void apply_error(const wire::reply_frame& frame, const wire::reply_error& error,
                 core::attempt_finished& finished)
{
    finished.m_peer_error = error.m_code;
    finished.m_outcome = frame.m_executed == executed::no ? core::attempt_outcome::refused
                                                          : core::attempt_outcome::lost;
}

/// Whether a message includes the reply address. Lease messages are sent continuously, so only the
/// first request to a witness and the later ones with the directory digest include it. The holder
/// has its witnesses' addresses from their plans.
bool needs_address(const core::message& value)
{
    if (const auto* request = std::get_if<core::lease_request>(&value))
        return request->m_directory_digest != 0;
    return !std::holds_alternative<core::lease_grant>(value);
}

} // namespace

peer_gateway::peer_gateway(boost::asio::io_context& io, peer_gateway_options options,
                           const clock& time, incarnation_id process_id,
                           std::function<member_id()> self, peer_gateway_callbacks callbacks)
    : m_options(std::move(options)), m_clock(time), m_process_id(process_id),
      m_self(std::move(self)), m_callbacks(std::move(callbacks)),
      m_transport(io, time, m_options.m_transport, make_transport_callbacks())
{
}

peer::transport_callbacks peer_gateway::make_transport_callbacks()
{
    peer::transport_callbacks callbacks;
    callbacks.m_on_envelope = [this](const wire::envelope& input, wire::channel) {
        handle_envelope(input);
    };
    callbacks.m_on_frame_failed = [this](peer::frame_id frame, bool nothing_was_sent) {
        handle_failed_frame(frame, nothing_was_sent);
    };
    callbacks.m_on_dropped = [this](wire::channel, const std::string& reason) {
        m_callbacks.m_on_invalid_input(reason);
    };
    return callbacks;
}

result<void, peer::transport_error> peer_gateway::start()
{
    return m_transport.start();
}

endpoint peer_gateway::route(const node_id& node, const endpoint& advertised) const
{
    const auto found = m_options.m_routes.find(node);
    return found == m_options.m_routes.end() ? advertised : found->second;
}

wire::envelope peer_gateway::make_envelope(wire::payload payload) const
{
    return {m_self(), m_transport.advertised(), std::move(payload)};
}

void peer_gateway::send(const core::send_message& effect)
{
    const auto address = route(effect.m_to.m_node, effect.m_address);
    const auto channel = wire::channel_for(effect.m_message);
    auto envelope = make_envelope(effect.m_message);
    if (!needs_address(effect.m_message))
        envelope.m_reply_to = endpoint();
    auto bytes = wire::encode(envelope);
    if (channel == wire::channel::datagram)
        m_transport.send_datagram(address, bytes);
    else
        m_transport.send_frame(address, std::move(bytes), false);
}

void peer_gateway::forward(const core::forward_request& effect, const open_request& request)
{
    const auto& info = request.m_info;
    wire::request_frame frame;
    frame.m_correlation = {m_process_id, ++m_last_counter};
    frame.m_attempt = effect.m_attempt;
    frame.m_method = request.m_message.m_method;
    frame.m_target = request.m_message.m_target;
    for (const auto& field : request.m_message.m_headers)
        frame.m_headers.emplace_back(field.m_name, field.m_value);
    frame.m_body = request.m_message.m_body;
    frame.m_request_id = info.m_request_id;
    frame.m_service = info.m_service;
    frame.m_customer = info.m_customer;
    frame.m_class = info.m_class;
    frame.m_key = info.m_key;
    frame.m_idempotency_key = info.m_idempotency_key;
    frame.m_idempotent = info.m_idempotent;
    frame.m_claimed = effect.m_claimed;
    const auto remaining = to_ms(effect.m_deadline - m_clock.now());
    frame.m_remaining_ms = std::uint32_t(std::max<std::int64_t>(1, remaining));

    const auto address = route(effect.m_to.m_node, effect.m_address);
    const auto id = m_transport.send_frame(address, wire::encode(make_envelope(frame)), true);
    m_forwards[m_last_counter] = {effect.m_token, effect.m_attempt, effect.m_to, address, id};
    m_counters_by_attempt[{effect.m_token, effect.m_attempt}] = m_last_counter;
    m_counters_by_frame[id] = m_last_counter;
}

void peer_gateway::cancel(core::request_token token, core::attempt_number attempt)
{
    const auto found = m_counters_by_attempt.find({token, attempt});
    if (found == m_counters_by_attempt.end())
        return;
    const auto& forward = m_forwards.at(found->second);
    const wire::cancel_frame frame{{m_process_id, found->second}};
    m_transport.send_frame(forward.m_address, wire::encode(make_envelope(frame)), false);
}

void peer_gateway::reply(const peer_origin& origin, wire::reply_frame frame)
{
    frame.m_correlation = origin.m_correlation;
    frame.m_attempt = origin.m_attempt;
    const auto address = route(origin.m_entry.m_node, origin.m_reply_to);
    m_transport.send_frame(address, wire::encode(make_envelope(std::move(frame))), false);
}

void peer_gateway::handle_envelope(const wire::envelope& input)
{
    if (const auto* value = std::get_if<core::message>(&input.m_payload)) {
        m_callbacks.m_on_message({input.m_from, input.m_reply_to, *value});
    } else if (const auto* request = std::get_if<wire::request_frame>(&input.m_payload)) {
        const peer_origin origin{input.m_from, input.m_reply_to, request->m_correlation,
                                 request->m_attempt};
        m_callbacks.m_on_request(origin, *request);
    } else if (const auto* answer = std::get_if<wire::reply_frame>(&input.m_payload)) {
        handle_reply(input.m_from, *answer);
    } else if (const auto* cancelled = std::get_if<wire::cancel_frame>(&input.m_payload)) {
        m_callbacks.m_on_cancel(cancelled->m_correlation);
    }
}

void peer_gateway::handle_reply(const member_id& from, const wire::reply_frame& frame)
{
    const auto found = m_forwards.find(frame.m_correlation.m_counter);
    const bool known = frame.m_correlation.m_incarnation == m_process_id &&
                       found != m_forwards.end() && found->second.m_attempt == frame.m_attempt &&
                       found->second.m_to.m_node == from.m_node;
    if (!known) {
        m_callbacks.m_on_late_reply(from);
        return;
    }
    const auto forward = found->second;
    m_transport.frame_done(forward.m_frame);
    m_counters_by_frame.erase(forward.m_frame);
    m_counters_by_attempt.erase({forward.m_token, forward.m_attempt});
    m_forwards.erase(found);

    core::attempt_finished finished;
    finished.m_token = forward.m_token;
    finished.m_attempt = forward.m_attempt;
    finished.m_executed = frame.m_executed;
    finished.m_reported_load = frame.m_reported_load;
    http::response reply;
    if (const auto* content = std::get_if<wire::reply_content>(&frame.m_result)) {
        reply = to_response(*content);
        finished.m_outcome = core::attempt_outcome::answered;
        finished.m_status = content->m_status;
        copy_small_reply(reply, m_options.m_max_claim_body_bytes, finished);
    } else {
        apply_error(frame, std::get<wire::reply_error>(frame.m_result), finished);
    }
    m_callbacks.m_on_attempt_finished(std::move(finished), std::move(reply));
}

void peer_gateway::handle_failed_frame(peer::frame_id frame, bool nothing_was_sent)
{
    const auto found = m_counters_by_frame.find(frame);
    if (found == m_counters_by_frame.end())
        return;
    const auto counter = found->second;
    const auto forward = m_forwards.at(counter);
    m_counters_by_frame.erase(found);
    m_forwards.erase(counter);
    m_counters_by_attempt.erase({forward.m_token, forward.m_attempt});
    core::attempt_finished finished;
    finished.m_token = forward.m_token;
    finished.m_attempt = forward.m_attempt;
    finished.m_outcome =
        nothing_was_sent ? core::attempt_outcome::not_sent : core::attempt_outcome::lost;
    finished.m_executed = nothing_was_sent ? executed::no : executed::unknown;
    m_callbacks.m_on_attempt_finished(std::move(finished), {});
}

endpoint peer_gateway::advertised() const
{
    return m_transport.advertised();
}

const peer::transport_counters& peer_gateway::traffic() const
{
    return m_transport.counters();
}

void peer_gateway::receive_pending()
{
    m_transport.receive_pending();
}

void peer_gateway::stop()
{
    m_transport.stop();
}

} // namespace azureladder::node
