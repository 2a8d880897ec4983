#include "order_sender.hpp"

#include <utility>

namespace azureladder::sidecar_runtime {

order_sender::order_sender(asio::io_context& io, const clock& time, const protocol_codec& codec,
                           order_sender_options options, report_function report)
    : m_io(io), m_clock(time), m_codec(codec), m_options(options), m_report(std::move(report))
{
}

order_sender::connection_ptr order_sender::open_connection(const std::string& address)
{
    return make_connection(m_io, address, m_options.m_departure_limit);
}

void order_sender::close_idle()
{
    if (m_idle)
        m_idle->close();
    m_idle.reset();
}

order_sender::connection_ptr order_sender::take_connection(const sidecar::grant_keys& order)
{
    if (order.m_connection > m_newest_number) {
        m_newest_number = order.m_connection;
        close_idle();
        return open_connection(order.m_backend_address);
    }
    if (order.m_connection != m_newest_number || !m_idle)
        return nullptr;
    if (!m_idle->is_kept_open()) {
        close_idle();
        return nullptr;
    }
    return std::exchange(m_idle, nullptr);
}

void order_sender::keep(std::uint64_t number, const connection_ptr& connection)
{
    if (number != m_newest_number || !connection->is_reusable())
        return;
    m_idle = connection;
    connection->watch_idle([this, raw = connection.get()] {
        if (m_idle.get() == raw)
            m_idle.reset();
    });
}

void order_sender::report_end(std::uint64_t order, const exchange_outcome& outcome)
{
    if (outcome.m_result == exchange_result::answered) {
        m_report(m_codec.decode_key_command_response(order, outcome.m_response));
        return;
    }
    const auto result = outcome.m_result == exchange_result::not_sent
                            ? sidecar::order_result::not_sent
                            : sidecar::order_result::unanswered;
    m_report(sidecar::order_ended{order, result, "", outcome.m_cause});
}

void order_sender::grant(const sidecar::grant_keys& order)
{
    const connection_ptr connection = take_connection(order);
    if (!connection) {
        m_report(sidecar::order_ended{order.m_order, sidecar::order_result::not_sent, "",
                                      "the connection has ended"});
        return;
    }
    connection->bind_to_connection(
        [this, number = order.m_connection, latest = m_clock.now() + m_options.m_departure_limit] {
            return number == m_newest_number && m_clock.now() <= latest;
        });
    connection->exchange(m_codec.encode_grant(order), m_options.m_order_timeout, nullptr,
                         [this, connection, id = order.m_order,
                          number = order.m_connection](const exchange_outcome& outcome) {
                             keep(number, connection);
                             report_end(id, outcome);
                         });
}

void order_sender::release(const sidecar::release_keys& order)
{
    // Never a kept connection: an answer to an earlier order, written once more, would prove that
    // keys are free which the server still holds.
    const connection_ptr connection = open_connection(order.m_backend_address);
    connection->exchange(m_codec.encode_release(order), m_options.m_order_timeout, nullptr,
                         [this, connection, id = order.m_order](const exchange_outcome& outcome) {
                             connection->close();
                             report_end(id, outcome);
                         });
}

} // namespace azureladder::sidecar_runtime
