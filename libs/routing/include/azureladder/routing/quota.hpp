#pragma once

#include <azureladder/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace azureladder::routing {

/// Limit of an organisation's requests over all nodes together.
struct quota_limit
{
    /// Requests per second; 0 means that there is no limit.
    double m_rate_per_s = 0.0;

    /// Requests that may exceed the rate at once.
    double m_burst = 0.0;
};

/// Load pattern: an organisation sends 3 to 8 times its usual rate for seconds over all nodes, and
/// the node that counts its requests is lost, isolated or restarted meanwhile. In any window, at
/// most (rate x window + burst) x (1 + over) + slack requests may be executed.
struct quota_options
{
    duration m_window = seconds(5);
    double m_over = 0.1;
    double m_slack = 20.0;
};

/// Token bucket of an organisation on the node that counts for all nodes. It holds at most the
/// burst and a quarter of the slack, and the tokens of the rate only for the time in which the node
/// counts.
struct quota_bucket
{
    double m_tokens = 0.0;
    time_point m_updated_at;

    /// Newest time at which the bucket was full. Time has restored the tokens taken before.
    time_point m_full_at;

    /// The node counted for the organisation when the bucket was last updated, and since when it
    /// does not otherwise.
    bool m_counts = true;
    time_point m_idle_since;

    /// Time of retry that the newest refused request was told.
    time_point m_last_retry_at;
};

/// Whether a limit applies.
bool is_limited(const quota_limit& limit);

/// Order of nodes in which they count for an organisation; the node with the highest weight counts.
std::uint64_t counting_weight(std::string_view organisation, std::string_view node);

/// Share of the limit for a node that reaches `reached` of the `known` nodes, itself included in
/// both. Parts of a divided network that do not reach each other together count at most the limit
/// and a twentieth of it; a few lost nodes don't change the share.
double counting_share(std::size_t reached, std::size_t known);

/// Bucket of a node that starts to count. Another node may have granted the whole burst shortly
/// before, so it holds half of the permitted excess and a quarter of the slack only.
quota_bucket start_counting(const quota_limit& limit, double share, const quota_options& options,
                            time_point now);

/// Updates a bucket while its node does not count. No tokens are added for this time.
void stop_counting(quota_bucket& bucket, time_point now);

/// Updates a bucket while its node counts. A node that had stopped counting, or stood still, keeps
/// its tokens up to those of `start_counting`.
void update_counting(quota_bucket& bucket, const quota_limit& limit, double share,
                     const quota_options& options, time_point now);

/// Takes a token from an updated bucket. Returns nothing on success, else the time after which a
/// token is available. Successive refusals get different times, so that retries don't coincide.
std::optional<duration> take_token(quota_bucket& bucket, const quota_limit& limit, double share,
                                   time_point now);

/// Adds the token of a request that was not executed, unless time has restored it already.
void return_token(quota_bucket& bucket, const quota_limit& limit, double share,
                  const quota_options& options, time_point granted_at, time_point now);

/// Tokens of an ingress that can't ask the counting node: an equal share of the rate for each node,
/// from the time at which the ingress first could not.
struct fallback_bucket
{
    double m_tokens = 0.0;
    time_point m_updated_at;
};

/// Takes a token from the fallback of one of `known` nodes. Returns false if there is none.
bool take_fallback_token(fallback_bucket& bucket, const quota_limit& limit, std::size_t known,
                         time_point now);

} // namespace azureladder::routing
