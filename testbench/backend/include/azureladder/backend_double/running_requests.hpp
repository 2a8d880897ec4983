#pragma once

#include <azureladder/backend_double/fencing_table.hpp>
#include <azureladder/base/clock.hpp>

#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <string>

namespace azureladder::backend_double {

/// How an execution ended.
enum class execution_end
{
    done,
    cancelled,
    deadline_passed,
    lease_expired
};

/// Limits of one execution.
struct execution_limits
{
    time_point m_completion_time;
    time_point m_deadline = time_point::max();

    /// Ends the execution when the lease of this table ends; may be null.
    const fencing_table* m_fencing = nullptr;
};

/// Requests in execution. Thread safe.
class running_requests
{
public:
    /// One execution.
    struct running
    {
        std::string m_request_id;
        bool m_cancelled = false;
    };

    using handle = std::list<running>::iterator;

    explicit running_requests(const clock& time) : m_clock(time) {}

    /// Adds an execution, which `cancel()` can find from this point on. `run()` must follow.
    handle add(const std::string& request_id);

    /// Blocks until the execution ends and removes it. Waits in real time between readings of the
    /// clock.
    execution_end run(handle current, const execution_limits& limits);

    /// Ends all executions of `request_id`. False when there is none.
    bool cancel(const std::string& request_id);

    /// Makes all executions check their lease again.
    void recheck_leases();

private:
    std::optional<execution_end> check_end(time_point now, const running& current,
                                           const execution_limits& limits) const;

    const clock& m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::list<running> m_running;
};

} // namespace azureladder::backend_double
