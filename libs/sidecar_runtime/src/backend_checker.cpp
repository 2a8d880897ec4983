#include "backend_checker.hpp"

#include <utility>

namespace azureladder::sidecar_runtime {

namespace {

sidecar::backend_checked failed_check(std::uint64_t check, const exchange_outcome& outcome)
{
    const auto result = outcome.m_result == exchange_result::not_sent
                            ? sidecar::backend_check_result::unreachable
                            : sidecar::backend_check_result::unanswered;
    return {check, result, outcome.m_cause};
}

} // namespace

backend_checker::backend_checker(asio::io_context& io, const protocol_codec& codec,
                                 byte_budget& budget, backend_checker_options options,
                                 event_handler on_event)
    : m_io(io), m_codec(codec), m_budget(budget), m_options(options),
      m_on_event(std::move(on_event))
{
}

void backend_checker::check(const sidecar::check_backend& command)
{
    const auto connection =
        make_connection(m_io, command.m_backend_address, m_options.m_connect_timeout, m_budget);
    connection->exchange(
        m_codec.encode_backend_check(command), m_options.m_timeout, nullptr,
        [this, command, connection](const exchange_outcome& outcome) {
            connection->close();
            m_on_event(outcome.m_result == exchange_result::answered
                           ? m_codec.decode_backend_check_response(command, outcome.m_response)
                           : failed_check(command.m_check, outcome));
        });
}

} // namespace azureladder::sidecar_runtime
