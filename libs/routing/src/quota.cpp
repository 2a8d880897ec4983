#include <azureladder/routing/organisation.hpp>
#include <azureladder/routing/quota.hpp>

#include <algorithm>
#include <cmath>

namespace azureladder::routing {

namespace {

/// Share of the nodes from which on a node counts the whole limit. With less, the unreachable nodes
/// may be a part of the network that counts too.
constexpr double whole_limit_share = 0.95;

/// Share of the slack that a bucket holds beyond the burst, and that a new bucket starts with. Two
/// starts in a window and this excess use three quarters of the slack; the rest covers requests
/// that were counted in one window and executed in the next.
constexpr double slack_share = 0.25;

/// Share of the permitted excess that a new bucket starts with.
constexpr double over_share = 0.5;

/// Capacity of a bucket in any case, since less than one token never grants a request.
constexpr double min_capacity = 1.0;

/// Longest time between two updates of a counting bucket. After a longer one, the process stood
/// still and other nodes may have counted.
constexpr duration max_update_interval = milliseconds(600);

/// Time over which the retries of refused requests are spread. A longer one would exceed the time
/// that callers have left.
constexpr duration retry_spread = milliseconds(1000);

constexpr std::uint32_t max_route_priority = 999;
constexpr std::uint32_t max_organisation_priority = 1'000'000;

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double time)
{
    return std::chrono::ceil<duration>(std::chrono::duration<double>(std::min(time, 3600.0)));
}

/// A bucket of the burst alone would refuse a few of the requests of an organisation with a burst
/// of one or two, although they arrive at random below its rate.
double capacity(const quota_limit& limit, double share, const quota_options& options)
{
    return std::max((limit.m_burst + slack_share * options.m_slack) * share, min_capacity);
}

double start_tokens(const quota_limit& limit, double share, const quota_options& options)
{
    const double per_window = limit.m_rate_per_s * to_seconds(options.m_window) + limit.m_burst;
    return std::min(share *
                        (over_share * options.m_over * per_window + slack_share * options.m_slack),
                    capacity(limit, share, options));
}

} // namespace

std::uint32_t combined_priority(std::uint32_t organisation_priority, std::uint32_t route_priority)
{
    if (organisation_priority == 0)
        return route_priority;
    return std::min(organisation_priority, max_organisation_priority) * (max_route_priority + 1) +
           std::min(route_priority, max_route_priority);
}

bool is_limited(const quota_limit& limit)
{
    return limit.m_rate_per_s > 0.0;
}

std::uint64_t counting_weight(std::string_view organisation, std::string_view node)
{
    // FNV-1a, then the finalizer of SplitMix64: FNV alone orders similar names alike for all
    // organisations.
    std::uint64_t hash = 14695981039346656037ULL;
    const auto add = [&](std::string_view text) {
        for (const char letter : text)
            hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    };
    add(organisation);
    add(std::string_view("\0", 1));
    add(node);
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

double counting_share(std::size_t reached, std::size_t known)
{
    if (known == 0 || reached >= known)
        return 1.0;
    const double share = static_cast<double>(reached) / static_cast<double>(known);
    return share >= whole_limit_share ? 1.0 : share;
}

quota_bucket start_counting(const quota_limit& limit, double share, const quota_options& options,
                            time_point now)
{
    quota_bucket bucket;
    bucket.m_tokens = start_tokens(limit, share, options);
    bucket.m_updated_at = now;
    bucket.m_full_at = now;
    return bucket;
}

void stop_counting(quota_bucket& bucket, time_point now)
{
    if (bucket.m_counts)
        bucket.m_idle_since = now;
    bucket.m_counts = false;
    bucket.m_updated_at = now;
}

void update_counting(quota_bucket& bucket, const quota_limit& limit, double share,
                     const quota_options& options, time_point now)
{
    const duration elapsed = now - bucket.m_updated_at;
    if (!bucket.m_counts || elapsed > max_update_interval)
        bucket.m_tokens = std::min(bucket.m_tokens, start_tokens(limit, share, options));
    else
        bucket.m_tokens += limit.m_rate_per_s * share * to_seconds(elapsed);
    bucket.m_counts = true;
    bucket.m_updated_at = now;
    if (bucket.m_tokens >= capacity(limit, share, options)) {
        bucket.m_tokens = capacity(limit, share, options);
        bucket.m_full_at = now;
    }
}

std::optional<duration> take_token(quota_bucket& bucket, const quota_limit& limit, double share,
                                   time_point now)
{
    if (bucket.m_tokens >= 1.0) {
        bucket.m_tokens -= 1.0;
        return std::nullopt;
    }
    const double rate = limit.m_rate_per_s * share;
    const time_point available = now + from_seconds((1.0 - bucket.m_tokens) / rate);
    time_point retry_at = std::max(available, bucket.m_last_retry_at + from_seconds(1.0 / rate));
    if (retry_at > available + retry_spread)
        retry_at = available;
    bucket.m_last_retry_at = retry_at;
    return retry_at - now;
}

void return_token(quota_bucket& bucket, const quota_limit& limit, double share,
                  const quota_options& options, time_point granted_at, time_point now)
{
    if (granted_at < bucket.m_full_at || granted_at > now)
        return;
    bucket.m_tokens = std::min(bucket.m_tokens + 1.0, capacity(limit, share, options));
}

bool take_fallback_token(fallback_bucket& bucket, const quota_limit& limit, std::size_t known,
                         time_point now)
{
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(known, 1));
    if (bucket.m_updated_at != time_point{})
        bucket.m_tokens += limit.m_rate_per_s * share * to_seconds(now - bucket.m_updated_at);
    bucket.m_tokens = std::min(bucket.m_tokens, std::max(1.0, limit.m_burst * share));
    bucket.m_updated_at = now;
    if (bucket.m_tokens < 1.0)
        return false;
    bucket.m_tokens -= 1.0;
    return true;
}

} // namespace azureladder::routing
