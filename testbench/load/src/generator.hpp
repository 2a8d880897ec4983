#pragma once

#include "call_log.hpp"
#include "http_connection.hpp"
#include "schedule.hpp"
#include "statistics.hpp"

#include <azureladder/base/clock.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace azureladder::load {

/// Time that a caller waits beyond the timeout in the request, so that the router's timeout
/// response can arrive.
inline constexpr duration timeout_grace = milliseconds(500);

/// Issues the calls of a schedule at their arrival times and records their outcomes. A request is
/// never sent twice; a repeat is a new request with the same idempotency key.
class generator final : private connection_events
{
public:
    generator(boost::asio::io_context& context, const load_settings& settings, const clock& time,
              call_log& log);

    /// Starts the schedule. `on_finished` runs when all calls have ended.
    void start(std::function<void()> on_finished);

    /// Issues no further calls. Calls in progress are completed.
    void stop_issuing();

    json report() const;

private:
    using connection_ptr = std::shared_ptr<http_connection>;

    struct target_state
    {
        std::vector<connection_ptr> m_idle;
        std::deque<std::unique_ptr<call>> m_waiting;
        std::uint32_t m_open = 0;
    };

    void connected(http_connection& connection, bool is_connected) override;
    void replied(http_connection& connection, exchange_state state,
                 const http_reply& reply) override;
    void idle_connection_closed(http_connection& connection) override;

    void schedule_arrival();
    void issue_due();
    void issue(planned_call plan, time_point scheduled, std::string idempotency_key,
               std::uint32_t repeat);
    void assign(std::unique_ptr<call> issued);
    void open_connection(std::unique_ptr<call> issued);
    void assign_waiting(std::uint32_t target);
    void drop(http_connection& connection);
    void connect_to_next_target(std::unique_ptr<call> issued);
    void finish(std::unique_ptr<call> issued, const call_outcome& outcome);
    void schedule_repeat(const call& issued);
    void schedule_expiry_check();
    void expire_calls();
    void end_if_finished();

    boost::asio::io_context& m_context;
    const load_settings& m_settings;
    const clock& m_clock;
    call_log& m_log;
    schedule m_schedule;
    statistics m_statistics;
    std::vector<target_state> m_targets;
    std::set<connection_ptr> m_connections;
    std::optional<planned_call> m_next;
    boost::asio::steady_timer m_arrival_timer;
    boost::asio::steady_timer m_expiry_timer;
    std::function<void()> m_on_finished;
    time_point m_start{};
    time_point m_end{};
    std::uint64_t m_issued = 0;
    std::uint64_t m_outstanding = 0;
};

} // namespace azureladder::load
