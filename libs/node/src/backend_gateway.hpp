#pragma once

#include <azureladder/base/clock.hpp>
#include <azureladder/core/backend_info.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/http/cancel_token.hpp>
#include <azureladder/http/message.hpp>

#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace azureladder::http {
class client;
}

namespace azureladder::node {

/// Options of `backend_gateway`.
struct backend_gateway_options
{
    /// Maximum number of concurrent requests to the backend server. The reducer's limit is lower
    /// unless a backend server announces more slots.
    std::size_t m_threads = 48;

    /// Largest reply body that is passed to the reducer for its claims, in bytes.
    std::size_t m_max_claim_body_bytes = 4096;
};

/// The only client of this process's backend server: sends requests, fencing grants, lease
/// extensions and cancellations. Calls do not block; requests are sent on threads of the gateway.
class backend_gateway
{
public:
    /// Called on a thread of the gateway with the result of an attempt and the reply, if any.
    using completion = std::function<void(core::attempt_finished, http::response)>;

    backend_gateway(const clock& time, backend_gateway_options options, completion on_finished);
    ~backend_gateway();

    backend_gateway(const backend_gateway&) = delete;
    backend_gateway& operator=(const backend_gateway&) = delete;

    /// Applies the address and limits of an announcement. A new start id means that the backend
    /// server restarted without its grants; they are sent again.
    void set_backend(const core::backend_info& info);

    void dispatch(const core::dispatch_to_backend& effect, const core::request_info& info,
                  http::request message);
    void cancel(core::request_token token, core::attempt_number attempt,
                const std::string& request_id);
    void extend_lease(incarnation_id incarnation, time_point valid_until);
    void set_grant(const core::set_backend_grant& grant);

    /// Waits for all calls in progress.
    void stop();

private:
    using attempt_key = std::pair<core::request_token, core::attempt_number>;

    std::shared_ptr<http::client> request_client();
    enum class control_result
    {
        done,
        refused,
        no_reply
    };

    /// Latest grant or revocation of a slice for the backend server.
    struct slice_grant
    {
        epoch_number m_epoch = 0;
        bool m_revoked = false;
    };

    void run_attempt(const core::dispatch_to_backend& effect, bool idempotent,
                     const std::shared_ptr<http::cancel_token>& token,
                     const http::request& message);
    bool wait_for_grant(const slice_id& slice, time_point until);
    // Control calls: backend_control.cpp.
    void send_grants();
    control_result send_grant(const slice_id& slice);
    control_result post_control(const std::string& target, const std::string& body);

    const clock& m_clock;
    const backend_gateway_options m_options;
    const completion m_on_finished;

    std::mutex m_mutex;
    std::condition_variable m_grant_sent;
    core::backend_info m_info;
    std::shared_ptr<http::client> m_request_client;
    std::shared_ptr<http::client> m_control_client;
    std::map<attempt_key, std::shared_ptr<http::cancel_token>> m_running;
    std::map<slice_id, slice_grant> m_grants;
    std::set<slice_id> m_unsent_grants;
    incarnation_id m_incarnation = 0;
    time_point m_lease_until{};
    std::atomic<bool> m_lease_call_pending{false};

    boost::asio::thread_pool m_request_threads;
    boost::asio::thread_pool m_control_thread;
};

} // namespace azureladder::node
