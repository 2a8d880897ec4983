#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/plan_json.hpp>

#include <iterator>
#include <limits>
#include <set>

namespace azureladder::core {

namespace {

constexpr const char* cluster_key = "cluster";
constexpr std::uint32_t max_shards = 4096;

std::uint32_t shard_count(const json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_unsigned())
        return 0;
    const auto value = found->get<std::uint64_t>();
    return value <= max_shards ? std::uint32_t(value) : 0;
}

void install_cluster(node_state& state, const std::string& text, effects& output)
{
    auto& own = state.m_ownership;
    const auto object = parse_object(text);
    const auto plan_shards = object ? shard_count(*object, "plan_shards") : 0;
    const auto slice_shards = object ? shard_count(*object, "slice_shards") : 0;
    if (plan_shards == 0 || slice_shards == 0) {
        log_event(output, log_level::error, "store_value_malformed", {{"key", cluster_key}});
        return;
    }
    own.m_plan_shards = plan_shards;
    own.m_slice_shards = slice_shards;
    for (std::uint32_t shard = 0; shard < plan_shards; ++shard)
        own.m_shards_to_read.insert(shard);
    own.m_phase = join_phase::reading_plans;
}

void write_cluster(node_state& state, time_point now, effects& output)
{
    const json value = {{"plan_shards", state.m_options.m_plan_shards},
                        {"slice_shards", state.m_options.m_slice_shards}};
    store_operation operation;
    operation.m_kind = store_operation_kind::write_cluster;
    operation.m_key = cluster_key;
    start_write(state, now, operation, value.dump(), 0, output);
}

/// The first plan has no slices. Its witnesses are selected from the plans that were just read.
plan first_plan(const node_state& state, time_point now)
{
    plan value;
    value.m_member = self(state);
    value.m_version = 1;
    value.m_zone = state.m_identity.m_zone;
    value.m_http_address = state.m_identity.m_http_address;
    value.m_peer_address = state.m_identity.m_peer_address;
    set_backend_fields(state, value);
    auto members = choose_members(state, now, {});
    value.m_standbys = std::move(members.m_standbys);
    value.m_witnesses = std::move(members.m_witnesses);
    return value;
}

/// A node that found half of the others unresponsive was itself partitioned. If it continued to
/// avoid them, it would join with few or no witnesses, and the loss of those would leave its slices
/// without an owner.
void clear_avoided_after_partition(node_state& state, time_point now)
{
    auto& avoided = state.m_ownership.m_avoid_until;
    std::size_t others = 0;
    std::size_t silent = 0;
    for (const auto* other : newest_plans(state.m_directory)) {
        const auto found = avoided.find(other->m_member);
        others += other->m_member.m_node != state.m_identity.m_node ? 1 : 0;
        silent += found != avoided.end() && now < found->second ? 1 : 0;
    }
    if (2 * silent >= others)
        avoided.clear();
}

void record_abandoned_incarnation(node_state& state, const member_id& former)
{
    auto& own = state.m_ownership;
    std::set<member_id> located;
    for (const auto& [slice, location] : state.m_directory.m_locations)
        located.insert(location.m_owner);
    for (auto entry = own.m_abandoned.begin(); entry != own.m_abandoned.end();) {
        const bool needed = located.count(entry->first) != 0;
        entry = needed ? std::next(entry) : own.m_abandoned.erase(entry);
    }
    if (own.m_plan.m_version != 0)
        own.m_abandoned[former] = {own.m_active_plan, own.m_plan};
}

void reset_for_join(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    clear_avoided_after_partition(state, now);
    own.m_plan = plan{};
    own.m_active_plan = plan{};
    own.m_proposed_plan.reset();
    own.m_stored_version = 0;
    own.m_lease_rounds.clear();
    own.m_received_grants.clear();
    own.m_fenced_by.clear();
    own.m_had_lease = false;
    own.m_last_lease_time = now;
    own.m_first_request.clear();
    own.m_last_response.clear();
    own.m_granted_leases.clear();
    own.m_slice_table_changes.clear();
    own.m_unowned_since.clear();
    own.m_refused_release_versions.clear();
    own.m_released.clear();
    own.m_shards_to_read.clear();
    own.m_join_since = now;
    own.m_phase = join_phase::reading_cluster;
    state.m_configuration.m_read_after_join = false;
}

} // namespace

bool is_plan_written(const node_state& state)
{
    return state.m_ownership.m_phase == join_phase::joined;
}

void begin_join(node_state& state, time_point now, bool new_incarnation, effects& output)
{
    auto& own = state.m_ownership;
    while (!own.m_slices.empty())
        drop_slice(state, own.m_slices.begin()->first, "rejoin", output);
    if (new_incarnation) {
        record_abandoned_incarnation(state, self(state));
        state.m_incarnation = random_value(state.m_random);
    }
    // With a random start, a grant for a former process of this node does not match a request of
    // this process.
    if (own.m_sequence == 0)
        own.m_sequence = random_below(state.m_random, std::numeric_limits<std::uint32_t>::max());
    reset_for_join(state, now);
    const auto spread = std::uint64_t(state.m_options.m_member_loss_timeout.count());
    own.m_rejoin_jitter = duration(std::int64_t(random_below(state.m_random, spread)));
}

void step_join(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (own.m_phase == join_phase::idle)
        begin_join(state, now, false, output);
    if (!is_store_due(state, now))
        return;
    if (own.m_phase == join_phase::reading_cluster) {
        const bool open = has_operation(state, store_operation_kind::read_cluster) ||
                          has_operation(state, store_operation_kind::write_cluster);
        if (!open)
            start_read(state, now, store_operation_kind::read_cluster, cluster_key, output);
    }
    if (own.m_phase != join_phase::reading_plans)
        return;
    for (const auto shard : own.m_shards_to_read) {
        const auto key = "plans/" + std::to_string(shard);
        if (!has_operation(state, store_operation_kind::read_join_plan_shard, key))
            start_read(state, now, store_operation_kind::read_join_plan_shard, key, output);
    }
}

void finish_join_operation(node_state& state, time_point now, const store_operation& operation,
                           const store_finished& answer, effects& output)
{
    auto& own = state.m_ownership;
    if (operation.m_kind == store_operation_kind::write_cluster)
        return; // read again, whatever the result
    if (operation.m_kind == store_operation_kind::read_cluster) {
        if (answer.m_status == store_status::ok)
            install_cluster(state, answer.m_value, output);
        else if (answer.m_status == store_status::not_found)
            write_cluster(state, now, output);
        step_join(state, now, output);
        return;
    }
    if (answer.m_status == store_status::ok)
        merge_plan_shard(state, operation.m_key, answer.m_value, output);
    else if (answer.m_status != store_status::not_found)
        return;
    own.m_shards_to_read.erase(
        std::uint32_t(std::stoul(operation.m_key.substr(operation.m_key.find('/') + 1))));
    if (!own.m_shards_to_read.empty() || own.m_phase != join_phase::reading_plans)
        return;
    own.m_phase = join_phase::writing_plan;
    own.m_proposed_plan = first_plan(state, now);
    step_plan_write(state, now, output);
}

} // namespace azureladder::core
