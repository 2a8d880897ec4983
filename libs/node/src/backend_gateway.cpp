#include "backend_gateway.hpp"

#include "caller_request.hpp"

#include <azureladder/http/client.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace azureladder::node {

namespace {

/// Longest time a request waits until the grant of its slice was sent.
constexpr milliseconds max_grant_wait{500};

constexpr const char* cold_header = "Azureladder-Backend-Cold";
constexpr int status_precondition_failed = 412;
constexpr int status_service_unavailable = 503;

bool reports_not_executed(const http::response& reply)
{
    const bool refusal = reply.m_status == status_precondition_failed ||
                         reply.m_status == status_service_unavailable;
    const auto* value = http::find_header(reply.m_headers, "Azureladder-Executed");
    return refusal && value != nullptr && *value == to_string(executed::no);
}

/// Removes the cold-start header from the reply, because callers do not receive it. Returns whether
/// it was "true".
bool remove_cold_header(http::response& reply)
{
    const auto* value = http::find_header(reply.m_headers, cold_header);
    const bool cold = value != nullptr && *value == "true";
    auto& headers = reply.m_headers;
    const auto is_cold_header = [](const http::header_field& field) {
        return http::equals_ignoring_case(field.m_name, cold_header);
    };
    headers.erase(std::remove_if(headers.begin(), headers.end(), is_cold_header), headers.end());
    return cold;
}

core::attempt_outcome outcome_of(const http::client_error& error, bool lease_ended)
{
    if (lease_ended)
        return core::attempt_outcome::lease_ended;
    return http::nothing_was_sent(error.m_kind) ? core::attempt_outcome::not_sent
                                                : core::attempt_outcome::lost;
}

void add_routing_headers(const core::dispatch_to_backend& effect, const core::request_info& info,
                         milliseconds timeout, http::request& message)
{
    auto& headers = message.m_headers;
    http::set_header(headers, "Request-Id", info.m_request_id);
    http::set_header(headers, "Azureladder-Service", info.m_service);
    http::set_header(headers, "Request-Timeout-Ms", std::to_string(timeout.count()));
    if (effect.m_slice.m_epoch == 0)
        return;
    http::set_header(headers, "Azureladder-Space", effect.m_slice.m_slice.m_space);
    http::set_header(headers, "Azureladder-Slice", std::to_string(effect.m_slice.m_slice.m_index));
    http::set_header(headers, "Azureladder-Epoch", std::to_string(effect.m_slice.m_epoch));
}

} // namespace

backend_gateway::backend_gateway(const clock& time, backend_gateway_options options,
                                 completion on_finished)
    : m_clock(time), m_options(options), m_on_finished(std::move(on_finished)),
      m_request_threads(options.m_threads), m_control_thread(1)
{
}

backend_gateway::~backend_gateway()
{
    stop();
}

void backend_gateway::set_backend(const core::backend_info& info)
{
    bool restarted = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool moved = m_info.m_address != info.m_address ||
                           m_info.m_connections != info.m_connections || !m_request_client;
        restarted = m_info.m_start_id != info.m_start_id;
        m_info = info;
        if (moved) {
            http::client_options options;
            options.m_max_connections = std::max<std::size_t>(1, info.m_connections);
            m_request_client = std::make_shared<http::client>(info.m_address, options);
            m_control_client = std::make_shared<http::client>(info.m_address);
        }
        if (restarted) {
            for (const auto& grant : m_grants)
                m_unsent_grants.insert(grant.first);
        }
    }
    if (restarted)
        boost::asio::post(m_control_thread, [this] { send_grants(); });
}

std::shared_ptr<http::client> backend_gateway::request_client()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_request_client;
}

void backend_gateway::dispatch(const core::dispatch_to_backend& effect,
                               const core::request_info& info, http::request message)
{
    const auto remaining = effect.m_deadline - m_clock.now();
    const auto timeout = std::max(milliseconds(1), milliseconds(to_ms(remaining)));
    add_routing_headers(effect, info, timeout, message);
    auto token = std::make_shared<http::cancel_token>();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_running[{effect.m_token, effect.m_attempt}] = token;
    }
    boost::asio::post(m_request_threads, [this, effect, idempotent = info.m_idempotent, token,
                                          message = std::move(message)] {
        run_attempt(effect, idempotent, token, message);
    });
}

void backend_gateway::run_attempt(const core::dispatch_to_backend& effect, bool idempotent,
                                  const std::shared_ptr<http::cancel_token>& token,
                                  const http::request& message)
{
    core::attempt_finished finished;
    finished.m_token = effect.m_token;
    finished.m_attempt = effect.m_attempt;
    finished.m_outcome = core::attempt_outcome::not_sent;
    http::response reply;
    const auto client = request_client();
    const bool granted = effect.m_slice.m_epoch == 0 ||
                         wait_for_grant(effect.m_slice.m_slice, m_clock.now() + max_grant_wait);
    const auto remaining = effect.m_deadline - m_clock.now();
    if (client && granted && remaining > duration::zero()) {
        bool lease_ended = false;
        http::execute_options options;
        options.m_timeout = std::max(milliseconds(1), milliseconds(to_ms(remaining)));
        options.m_connection =
            idempotent ? http::connection_use::pooled : http::connection_use::fresh;
        options.m_cancel_token = token;
        // Checked directly before the write: the process may have been paused after the reducer's
        // decision, and the lease may have ended in the meantime.
        options.m_before_send = [&] {
            lease_ended = m_clock.now() >= effect.m_send_before;
            return !lease_ended;
        };
        auto outcome = client->execute(message, options);
        if (outcome) {
            reply = std::move(outcome.value());
            finished.m_outcome = reports_not_executed(reply) ? core::attempt_outcome::refused
                                                             : core::attempt_outcome::answered;
            finished.m_status = reply.m_status;
            finished.m_backend_cold = remove_cold_header(reply);
            if (!idempotent)
                copy_small_reply(reply, m_options.m_max_claim_body_bytes, finished);
        } else {
            finished.m_outcome = outcome_of(outcome.error(), lease_ended);
        }
    }
    if (finished.m_outcome == core::attempt_outcome::answered)
        finished.m_executed = reported_execution(reply);
    else if (finished.m_outcome != core::attempt_outcome::lost)
        finished.m_executed = executed::no;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_running.erase({effect.m_token, effect.m_attempt});
    }
    m_on_finished(std::move(finished), std::move(reply));
}

bool backend_gateway::wait_for_grant(const slice_id& slice, time_point until)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (m_unsent_grants.count(slice) != 0) {
        if (m_clock.now() >= until)
            return false;
        m_grant_sent.wait_for(lock, milliseconds(5));
    }
    return true;
}

void backend_gateway::stop()
{
    m_request_threads.join();
    m_control_thread.join();
}

} // namespace azureladder::node
