#include "key_command_sender.hpp"

#include <utility>

namespace azureladder::sidecar_runtime {

key_command_sender::key_command_sender(asio::io_context& io, const clock& time,
                                       const protocol_codec& codec, byte_budget& budget,
                                       key_command_sender_options options, event_handler on_event)
    : m_io(io), m_clock(time), m_codec(codec), m_budget(budget), m_options(options),
      m_on_event(std::move(on_event))
{
}

key_command_sender::connection_ptr key_command_sender::open_connection(const std::string& address)
{
    return make_connection(m_io, address, m_options.m_max_send_delay, m_budget);
}

void key_command_sender::close_idle_connection()
{
    if (m_idle_connection)
        m_idle_connection->close();
    m_idle_connection.reset();
}

key_command_sender::connection_ptr
key_command_sender::find_connection(const sidecar::grant_keys& command)
{
    if (command.m_connection > m_latest_connection_number) {
        m_latest_connection_number = command.m_connection;
        close_idle_connection();
        return open_connection(command.m_backend_address);
    }
    if (command.m_connection != m_latest_connection_number || !m_idle_connection)
        return nullptr;
    if (!m_idle_connection->can_be_reused_now()) {
        close_idle_connection();
        return nullptr;
    }
    return std::exchange(m_idle_connection, nullptr);
}

void key_command_sender::keep_idle_connection(std::uint64_t connection_number,
                                              const connection_ptr& connection)
{
    if (connection_number != m_latest_connection_number || !connection->is_reusable())
        return;
    m_idle_connection = connection;
    connection->watch_idle([this, kept = connection.get()] {
        if (m_idle_connection.get() == kept)
            m_idle_connection.reset();
    });
}

void key_command_sender::report_outcome(std::uint64_t command_id, const exchange_outcome& outcome)
{
    if (outcome.m_result == exchange_result::answered) {
        m_on_event(m_codec.decode_key_command_response(command_id, outcome.m_response));
        return;
    }
    const auto result = outcome.m_result == exchange_result::not_sent
                            ? sidecar::key_command_result::not_sent
                            : sidecar::key_command_result::unanswered;
    m_on_event(sidecar::key_command_ended{command_id, result, "", outcome.m_cause});
}

void key_command_sender::grant(const sidecar::grant_keys& command)
{
    const connection_ptr connection = find_connection(command);
    if (!connection) {
        m_on_event(sidecar::key_command_ended{command.m_command_id,
                                              sidecar::key_command_result::not_sent, "",
                                              "the connection is closed and must not be reopened"});
        return;
    }
    connection->restrict_to_first_connection([this, connection_number = command.m_connection,
                                              send_deadline =
                                                  m_clock.now() + m_options.m_max_send_delay] {
        return connection_number == m_latest_connection_number && m_clock.now() <= send_deadline;
    });
    connection->exchange(
        m_codec.encode_grant(command), m_options.m_response_timeout, nullptr,
        [this, connection, id = command.m_command_id,
         connection_number = command.m_connection](const exchange_outcome& outcome) {
            keep_idle_connection(connection_number, connection);
            report_outcome(id, outcome);
        });
}

void key_command_sender::release(const sidecar::release_keys& command)
{
    // A release never reuses a connection: a duplicate of an earlier response would falsely confirm
    // that the server no longer holds the keys.
    const connection_ptr connection = open_connection(command.m_backend_address);
    connection->exchange(
        m_codec.encode_release(command), m_options.m_response_timeout, nullptr,
        [this, connection, id = command.m_command_id](const exchange_outcome& outcome) {
            connection->close();
            report_outcome(id, outcome);
        });
}

} // namespace azureladder::sidecar_runtime
