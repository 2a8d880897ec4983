#include "backend_gateway.hpp"

#include "caller_request.hpp"

#include <azureladder/base/json.hpp>
#include <azureladder/base/scope_guard.hpp>
#include <azureladder/http/client.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace azureladder::node {

namespace {

/// Time for one control call. Longer than a usual answer, shorter than a lease.
constexpr milliseconds control_timeout{200};

/// Longest time for which a request waits for the grant of its slice to be sent.
constexpr milliseconds grant_wait{500};

constexpr int status_precondition_failed = 412;
constexpr int status_service_unavailable = 503;

bool states_not_executed(const http::response& reply)
{
    const bool refusal = reply.m_status == status_precondition_failed ||
                         reply.m_status == status_service_unavailable;
    const auto* value = http::find_header(reply.m_headers, "Azureladder-Executed");
    return refusal && value != nullptr && *value == to_string(executed::no);
}

core::attempt_outcome outcome_of(const http::client_error& error, bool lease_ended)
{
    if (lease_ended)
        return core::attempt_outcome::lease_ended;
    return http::nothing_was_sent(error.m_kind) ? core::attempt_outcome::not_sent
                                                : core::attempt_outcome::lost;
}

void add_routing_headers(const core::dispatch_to_backend& order, const core::request_info& info,
                         milliseconds timeout, http::request& message)
{
    auto& headers = message.m_headers;
    http::set_header(headers, "Request-Id", info.m_request_id);
    http::set_header(headers, "Azureladder-Service", info.m_service);
    http::set_header(headers, "Request-Timeout-Ms", std::to_string(timeout.count()));
    if (order.m_slice.m_epoch == 0)
        return;
    http::set_header(headers, "Azureladder-Space", order.m_slice.m_slice.m_space);
    http::set_header(headers, "Azureladder-Slice", std::to_string(order.m_slice.m_slice.m_index));
    http::set_header(headers, "Azureladder-Epoch", std::to_string(order.m_slice.m_epoch));
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

void backend_gateway::dispatch(const core::dispatch_to_backend& order,
                               const core::request_info& info, http::request message)
{
    const auto remaining = order.m_deadline - m_clock.now();
    const auto timeout = std::max(milliseconds(1), milliseconds(to_ms(remaining)));
    add_routing_headers(order, info, timeout, message);
    auto token = std::make_shared<http::cancel_token>();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_running[{order.m_token, order.m_attempt}] = token;
    }
    boost::asio::post(m_request_threads, [this, order, idempotent = info.m_idempotent, token,
                                          message = std::move(message)] {
        run_attempt(order, idempotent, token, message);
    });
}

void backend_gateway::run_attempt(const core::dispatch_to_backend& order, bool idempotent,
                                  const std::shared_ptr<http::cancel_token>& token,
                                  const http::request& message)
{
    core::attempt_finished finished;
    finished.m_token = order.m_token;
    finished.m_attempt = order.m_attempt;
    finished.m_outcome = core::attempt_outcome::not_sent;
    http::response reply;
    const auto client = request_client();
    const bool granted = order.m_slice.m_epoch == 0 ||
                         wait_for_grant(order.m_slice.m_slice, m_clock.now() + grant_wait);
    const auto remaining = order.m_deadline - m_clock.now();
    if (client && granted && remaining > duration::zero()) {
        bool lease_ended = false;
        http::execute_options options;
        options.m_timeout = std::max(milliseconds(1), milliseconds(to_ms(remaining)));
        options.m_connection =
            idempotent ? http::connection_use::pooled : http::connection_use::fresh;
        options.m_cancel = token;
        // Checked directly before the write: the process may have been paused since the reducer
        // decided, and the lease may have ended meanwhile.
        options.m_before_send = [&] {
            lease_ended = m_clock.now() >= order.m_send_before;
            return !lease_ended;
        };
        auto outcome = client->execute(message, options);
        if (outcome) {
            reply = std::move(outcome.value());
            finished.m_outcome = states_not_executed(reply) ? core::attempt_outcome::refused
                                                            : core::attempt_outcome::answered;
            finished.m_status = reply.m_status;
            if (!idempotent)
                keep_small_reply(reply, m_options.m_claim_body_bytes, finished);
        } else {
            finished.m_outcome = outcome_of(outcome.error(), lease_ended);
        }
    }
    if (finished.m_outcome == core::attempt_outcome::answered)
        finished.m_executed = stated_execution(reply);
    else if (finished.m_outcome != core::attempt_outcome::lost)
        finished.m_executed = executed::no;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_running.erase({order.m_token, order.m_attempt});
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

void backend_gateway::cancel(core::request_token token, core::attempt_number attempt,
                             const std::string& request_id)
{
    std::shared_ptr<http::cancel_token> running;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_running.find({token, attempt});
        if (found == m_running.end())
            return;
        running = found->second;
    }
    boost::asio::post(m_control_thread, [this, running, request_id] {
        // The backend server stops the work first; closing the connection alone would not tell it.
        post_control("/control/cancel", json{{"request_id", request_id}}.dump());
        running->cancel();
    });
}

void backend_gateway::extend_lease(incarnation_id incarnation, time_point valid_until)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_incarnation = incarnation;
        m_lease_until = valid_until;
    }
    // One call at a time: a slow backend server must not collect a backlog of extensions.
    if (m_lease_call_pending.exchange(true))
        return;
    boost::asio::post(m_control_thread, [this] {
        m_lease_call_pending = false;
        json body;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto valid_ms = to_ms(m_lease_until - m_clock.now());
            if (valid_ms <= 0)
                return;
            body = {{"incarnation", m_incarnation}, {"valid_ms", valid_ms}};
        }
        post_control("/control/lease", body.dump());
        send_grants();
    });
}

void backend_gateway::set_grant(const core::set_backend_grant& grant)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto& slice = grant.m_slice.m_slice;
        m_grants[slice] = {grant.m_slice.m_epoch, grant.m_revoked};
        m_unsent_grants.insert(slice);
    }
    boost::asio::post(m_control_thread, [this] { send_grants(); });
}

void backend_gateway::send_grants()
{
    std::vector<slice_id> unsent;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        unsent.assign(m_unsent_grants.begin(), m_unsent_grants.end());
    }
    // What fails or is refused is sent again with the next lease extension. A refusal concerns one
    // slice only, so the grants of the others must not wait for it.
    for (const auto& slice : unsent) {
        if (send_grant(slice) == control_result::no_reply)
            return;
    }
}

backend_gateway::control_result backend_gateway::send_grant(const slice_id& slice)
{
    slice_grant sent;
    json body;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        sent = m_grants.at(slice);
        body = {{"service", m_info.m_service},
                {"space", slice.m_space},
                {"slice", slice.m_index},
                {"epoch", sent.m_epoch}};
    }
    if (sent.m_revoked)
        body["revoked"] = true;
    const auto result = post_control("/control/grant", body.dump());
    if (result != control_result::done)
        return result;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto& current = m_grants.at(slice);
    if (current.m_epoch == sent.m_epoch && current.m_revoked == sent.m_revoked)
        m_unsent_grants.erase(slice);
    m_grant_sent.notify_all();
    return result;
}

backend_gateway::control_result backend_gateway::post_control(const std::string& target,
                                                              const std::string& body)
{
    std::shared_ptr<http::client> client;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        client = m_control_client;
    }
    if (!client)
        return control_result::no_reply;
    http::request message;
    message.m_method = "POST";
    message.m_target = target;
    message.m_headers.push_back({"Content-Type", "application/json"});
    message.m_body = body;
    http::execute_options options;
    options.m_timeout = control_timeout;
    const auto reply = client->execute(message, options);
    if (!reply)
        return control_result::no_reply;
    constexpr int first_error_status = 300;
    const bool done = reply.value().m_status < first_error_status;
    return done ? control_result::done : control_result::refused;
}

void backend_gateway::stop()
{
    m_request_threads.join();
    m_control_thread.join();
}

} // namespace azureladder::node
