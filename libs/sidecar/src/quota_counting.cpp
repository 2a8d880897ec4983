#include "step_context.hpp"

#include <algorithm>
#include <utility>

namespace azureladder::sidecar {

namespace {

/// Unanswered ping time after which another node counts instead of a peer. Longer than the time
/// after which ingresses stop using the peer, so that two nodes rarely count at the same time.
constexpr duration counting_silence = milliseconds(800);

/// Interval between updates of the buckets. An update visits all peers for each bucket.
constexpr duration bucket_check_interval = milliseconds(250);

/// Shortest time between pings that check whether a preceding node still responds.
constexpr duration precedence_ping_interval = milliseconds(250);

/// Silence of all peers together after which this node counts as isolated. It is shorter than
/// `counting_silence`, so that the node has stopped counting before another one starts.
constexpr duration isolation_silence = milliseconds(700);

/// Silence of all peers after which a counting node pings some of them at each check of its
/// buckets. Peers may all have sent their regular pings at the same time.
constexpr duration probe_silence = milliseconds(200);
constexpr std::size_t probed_peers = 3;

/// Role of this node for an organisation.
struct counting_role
{
    /// No peer has been heard from. Another node may count soon.
    bool m_is_isolated = false;

    /// Peer that counts instead; null if this node counts.
    peer_state* m_predecessor = nullptr;

    /// Share of the limit that this node counts.
    double m_share = 1.0;
};

bool is_reached(const peer_state& peer, time_point now)
{
    return peer.m_link != 0 && peer.m_handshake_complete &&
           (!peer.m_ping_pending || now - peer.m_ping_sent_at < counting_silence);
}

/// Position of a node in the order in which nodes count; the greatest comes first.
using precedence = std::pair<bool, std::uint64_t>;

precedence precedence_of(bool counts, const std::string& organisation, const std::string& node)
{
    return {counts, routing::counting_weight(organisation, node)};
}

bool is_isolated(const node_state& state, time_point now)
{
    return !state.m_peers.empty() && now - state.m_quotas.m_last_peer_frame_at > isolation_silence;
}

/// Pings some peers if none has been heard from for a while.
void probe_peers(step_context& context)
{
    if (context.m_now - context.m_state.m_quotas.m_last_peer_frame_at < probe_silence)
        return;
    std::size_t probed = 0;
    for (auto& [node, peer] : context.m_state.m_peers) {
        if (probed == probed_peers)
            return;
        if (peer.m_link == 0 || !peer.m_handshake_complete || peer.m_ping_pending)
            continue;
        ping(context, peer);
        ++probed;
    }
}

counting_role role_of(node_state& state, const std::string& organisation, time_point now)
{
    counting_role role;
    role.m_is_isolated = is_isolated(state, now);
    const precedence own =
        precedence_of(counts_quotas(state, now), organisation, state.m_options.m_node);
    std::size_t reached = 1;
    for (auto& [node, peer] : state.m_peers) {
        if (!is_reached(peer, now))
            continue;
        ++reached;
        if (role.m_predecessor == nullptr &&
            precedence_of(peer.m_status.m_counts_quotas, organisation, node) > own)
            role.m_predecessor = &peer;
    }
    role.m_share = routing::counting_share(
        reached, std::max(state.m_quotas.m_known_nodes, state.m_peers.size() + 1));
    return role;
}

/// Bucket of an organisation that this node counts for, updated to the present time.
routing::quota_bucket& bucket_of(step_context& context, const std::string& organisation,
                                 const routing::quota_limit& limit, double share)
{
    const auto& options = context.m_state.m_options.m_quota;
    const auto [place, added] = context.m_state.m_quotas.m_buckets.try_emplace(organisation);
    routing::quota_bucket& bucket = place->second;
    const bool counted = !added && bucket.m_counts;
    if (added)
        bucket = routing::start_counting(limit, share, options, context.m_now);
    else
        routing::update_counting(bucket, limit, share, options, context.m_now);
    if (!counted)
        log(context, log_level::info, "quota_counting_started",
            {{"organisation", organisation}, {"tokens", bucket.m_tokens}, {"share", share}});
    return bucket;
}

} // namespace

const routing::organisation* find_organisation(const node_state& state, const std::string& name)
{
    const auto& configuration = state.m_active_configuration.m_configuration;
    if (!configuration)
        return nullptr;
    const auto found = configuration->m_organisations.find(name);
    return found == configuration->m_organisations.end() ? nullptr : &found->second;
}

bool counts_quotas(const node_state& state, time_point now)
{
    return has_organisations(state) && !state.m_stopping &&
           now - state.m_started_at >= state.m_options.m_quota_start_delay;
}

std::string counting_node_of(const node_state& state, const std::string& organisation,
                             time_point now)
{
    const std::string* first = &state.m_options.m_node;
    precedence greatest = precedence_of(counts_quotas(state, now), organisation, *first);
    for (const auto& [node, peer] : state.m_peers) {
        if (!is_usable(state, peer, now))
            continue;
        const precedence other = precedence_of(peer.m_status.m_counts_quotas, organisation, node);
        if (other > greatest) {
            greatest = other;
            first = &node;
        }
    }
    return *first;
}

void on_quota_request(step_context& context, std::uint64_t link, const quota_request_frame& frame)
{
    node_state& state = context.m_state;
    quota_answer_frame answer;
    answer.m_id = frame.m_id;
    answer.m_organisation = frame.m_organisation;
    const routing::organisation* known = find_organisation(state, frame.m_organisation);
    const routing::quota_limit& limit = known != nullptr ? known->m_limit : frame.m_limit;
    // A process that stood still does not know yet which peers are reachable.
    const bool stood_still = context.m_now - state.m_last_tick > max_tick_interval;
    const counting_role role = role_of(state, frame.m_organisation, context.m_now);
    if (!routing::is_limited(limit)) {
        answer.m_answer = quota_answer::granted;
    } else if (stood_still || role.m_is_isolated || role.m_predecessor != nullptr) {
        // The sender may know sooner than this node that the preceding one does not respond.
        if (role.m_predecessor != nullptr && !role.m_predecessor->m_ping_pending &&
            context.m_now - role.m_predecessor->m_ping_sent_at >= precedence_ping_interval)
            ping(context, *role.m_predecessor);
        const auto bucket = state.m_quotas.m_buckets.find(frame.m_organisation);
        if (bucket != state.m_quotas.m_buckets.end())
            routing::stop_counting(bucket->second, context.m_now);
    } else {
        routing::quota_bucket& bucket =
            bucket_of(context, frame.m_organisation, limit, role.m_share);
        const auto wait = routing::take_token(bucket, limit, role.m_share, context.m_now);
        answer.m_answer = wait ? quota_answer::refused : quota_answer::granted;
        answer.m_granted_us = to_us(context.m_now);
        answer.m_retry_after_us = wait.value_or(duration::zero()).count();
    }
    send_on_link(context, link, std::move(answer));
}

void on_quota_return(step_context& context, const quota_return_frame& frame)
{
    node_state& state = context.m_state;
    const auto bucket = state.m_quotas.m_buckets.find(frame.m_organisation);
    const routing::organisation* known = find_organisation(state, frame.m_organisation);
    if (bucket == state.m_quotas.m_buckets.end() || known == nullptr || !bucket->second.m_counts)
        return;
    const counting_role role = role_of(state, frame.m_organisation, context.m_now);
    routing::return_token(bucket->second, known->m_limit, role.m_share, state.m_options.m_quota,
                          time_point(duration(frame.m_granted_us)), context.m_now);
}

void check_quota_buckets(step_context& context)
{
    node_state& state = context.m_state;
    quota_counting& quotas = state.m_quotas;
    if (context.m_now < quotas.m_next_check_at)
        return;
    quotas.m_next_check_at = context.m_now + bucket_check_interval;
    quotas.m_known_nodes = std::max(quotas.m_known_nodes, state.m_peers.size() + 1);
    const auto& options = state.m_options.m_quota;
    const bool is_counting = std::any_of(quotas.m_buckets.begin(), quotas.m_buckets.end(),
                                         [](const auto& entry) { return entry.second.m_counts; });
    if (is_counting)
        probe_peers(context);
    for (auto it = quotas.m_buckets.begin(); it != quotas.m_buckets.end();) {
        auto& [organisation, bucket] = *it;
        const routing::organisation* known = find_organisation(state, organisation);
        // A bucket that is made anew starts with new tokens, so it is kept for longer than a
        // window.
        const bool is_old =
            !bucket.m_counts && context.m_now - bucket.m_idle_since > options.m_window * 2;
        if (is_old || (known != nullptr && !routing::is_limited(known->m_limit))) {
            it = quotas.m_buckets.erase(it);
            continue;
        }
        const counting_role role = role_of(state, organisation, context.m_now);
        if (known == nullptr || role.m_is_isolated || role.m_predecessor != nullptr)
            routing::stop_counting(bucket, context.m_now);
        else if (bucket.m_counts)
            routing::update_counting(bucket, known->m_limit, role.m_share, options, context.m_now);
        ++it;
    }
}

} // namespace azureladder::sidecar
