#include "backend_gateway.hpp"

#include <azureladder/base/json.hpp>
#include <azureladder/http/client.hpp>

#include <boost/asio/post.hpp>

namespace azureladder::node {

namespace {

/// Timeout of one control call. Longer than a usual reply takes, shorter than a lease.
constexpr milliseconds control_timeout{200};

} // namespace

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
        // The backend server aborts the request first; it does not detect a closed connection.
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
    // One queued call at most, so that a slow backend server does not cause a backlog.
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
    // Grants that fail or are refused are sent again with the next lease extension. A refusal
    // applies to one slice only and must not delay the grants of the others.
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

} // namespace azureladder::node
