#include <azureladder/core/attempt_budget.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

constexpr std::uint64_t permille_base = 1000;

std::int64_t second_of(time_point now)
{
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

attempt_budget::bucket& bucket_for(attempt_budget& budget, time_point now)
{
    const auto second = second_of(now);
    auto& found =
        budget.m_buckets[static_cast<std::size_t>(second % attempt_budget::window_seconds)];
    if (found.m_second != second)
        found = {second, 0, 0};
    return found;
}

} // namespace

void count_request(attempt_budget& budget, time_point now)
{
    ++bucket_for(budget, now).m_requests;
}

std::uint32_t remaining_attempts(const attempt_budget& budget, time_point now,
                                 std::uint32_t permille)
{
    const auto oldest = second_of(now) - attempt_budget::window_seconds;
    std::uint64_t requests = 0;
    std::uint64_t used = 0;
    for (const auto& bucket : budget.m_buckets) {
        if (bucket.m_second < 0 || bucket.m_second <= oldest)
            continue;
        requests += bucket.m_requests;
        used += bucket.m_used;
    }
    const auto allowed =
        std::max<std::uint64_t>(budget.m_min_attempts, requests * permille / permille_base);
    return static_cast<std::uint32_t>(allowed > used ? allowed - used : 0);
}

bool try_take_attempt(attempt_budget& budget, time_point now, std::uint32_t permille)
{
    if (remaining_attempts(budget, now, permille) == 0)
        return false;
    ++bucket_for(budget, now).m_used;
    return true;
}

} // namespace azureladder::core
