#pragma once

#include "open_request.hpp"

#include <azureladder/base/clock.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/peer/transport.hpp>
#include <azureladder/wire/envelope.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace azureladder::node {

/// Options of `peer_gateway`.
struct peer_gateway_options
{
    peer::transport_options m_transport;

    /// Addresses that replace the advertised ones, by node.
    std::map<node_id, endpoint> m_routes;

    /// Largest reply body that is passed to the reducer for its claims, in bytes.
    std::size_t m_max_claim_body_bytes = 4096;
};

/// Callbacks of `peer_gateway`, called on the loop thread.
struct peer_gateway_callbacks
{
    std::function<void(core::message_received)> m_on_message;
    std::function<void(const peer_origin&, wire::request_frame)> m_on_request;
    std::function<void(const wire::correlation&)> m_on_cancel;
    std::function<void(core::attempt_finished, http::response)> m_on_attempt_finished;

    /// A reply that matches no pending forwarded request.
    std::function<void(const member_id&)> m_on_late_reply;

    /// A datagram or frame that could not be decoded.
    std::function<void(const std::string&)> m_on_invalid_input;
};

/// Translates between the reducer's effects and the frames and datagrams of the peer transport.
/// Tracks the forwarded requests that await a reply. Used on the loop thread only.
class peer_gateway
{
public:
    peer_gateway(boost::asio::io_context& io, peer_gateway_options options, const clock& time,
                 incarnation_id process_id, std::function<member_id()> self,
                 peer_gateway_callbacks callbacks);

    /// Opens the listeners.
    result<void, peer::transport_error> start();

    /// Address under which other nodes reach this one. Valid after `start`.
    endpoint advertised() const;

    void send(const core::send_message& effect);
    void forward(const core::forward_request& effect, const open_request& request);
    void cancel(core::request_token token, core::attempt_number attempt);
    void reply(const peer_origin& origin, wire::reply_frame frame);
    const peer::transport_counters& traffic() const;

    /// Delivers the datagrams in the receive buffer.
    void receive_pending();
    void stop();

private:
    struct pending_forward
    {
        core::request_token m_token = 0;
        core::attempt_number m_attempt = 0;
        member_id m_to;
        endpoint m_address;
        peer::frame_id m_frame = 0;
    };

    peer::transport_callbacks make_transport_callbacks();
    void handle_envelope(const wire::envelope& input);
    void handle_reply(const member_id& from, const wire::reply_frame& frame);
    void handle_failed_frame(peer::frame_id frame, bool nothing_was_sent);
    endpoint route(const node_id& node, const endpoint& advertised) const;
    wire::envelope make_envelope(wire::payload payload) const;

    const peer_gateway_options m_options;
    const clock& m_clock;
    const incarnation_id m_process_id;
    const std::function<member_id()> m_self;
    const peer_gateway_callbacks m_callbacks;
    std::uint64_t m_last_counter = 0;

    /// Forwarded requests that await a reply, by the counter of the correlation id.
    std::map<std::uint64_t, pending_forward> m_forwards;
    std::map<std::pair<core::request_token, core::attempt_number>, std::uint64_t>
        m_counters_by_attempt;
    std::map<peer::frame_id, std::uint64_t> m_counters_by_frame;
    peer::transport m_transport;
};

} // namespace azureladder::node
