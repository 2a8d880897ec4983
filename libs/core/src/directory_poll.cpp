#include "directory_poll.hpp"
#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/plan_json.hpp>
#include <azureladder/records/document.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

std::vector<std::string> known_spaces(const node_state& state)
{
    std::vector<std::string> spaces{claim_space};
    for (const auto& [name, service] : state.m_configuration.m_document.m_services) {
        for (auto& space : records::slice_spaces_of_service(service))
            spaces.push_back(std::move(space));
    }
    return spaces;
}

/// Key at `position` in the cycle over all plan shards and slice tables.
std::string poll_key_at(const node_state& state, std::size_t position)
{
    const auto& own = state.m_ownership;
    const auto spaces = known_spaces(state);
    const auto total = own.m_plan_shards + spaces.size() * own.m_slice_shards;
    position %= total;
    if (position < own.m_plan_shards)
        return "plans/" + std::to_string(position);
    position -= own.m_plan_shards;
    return "slices/" + spaces[position / own.m_slice_shards] + "/" +
           std::to_string(position % own.m_slice_shards);
}

/// Version of the value that this incarnation read last; zero when it must read the value.
std::uint64_t known_version(const node_state& state, const std::string& key)
{
    const auto& versions = state.m_ownership.m_polled_versions;
    const auto found = versions.find(key);
    if (found == versions.end() || found->second.m_incarnation != state.m_incarnation)
        return 0;
    return found->second.m_version;
}

void log_malformed(effects& output, const std::string& key, std::size_t entries)
{
    log_event(output, log_level::error, "store_value_malformed",
              {{"key", key}, {"entries", entries}});
}

} // namespace

std::string space_of_table_key(const std::string& key)
{
    const auto first = key.find('/') + 1;
    return key.substr(first, key.rfind('/') - first);
}

void step_store_poll(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (now < own.m_next_poll || !is_plan_written(state) || !is_store_due(state, now))
        return;
    own.m_next_poll = now + state.m_options.m_store_poll_interval;
    remove_obsolete_plans(state);
    const auto pollers = store_polling_members(state);
    own.m_polls_store = contains(pollers, self(state));
    if (!own.m_polls_store)
        return;
    const auto key = poll_key_at(state, own.m_poll_position++);
    const bool plans = key.compare(0, 6, "plans/") == 0;
    const auto task =
        plans ? store_operation_kind::poll_plan_shard : store_operation_kind::poll_slice_table;
    if (has_operation(state, task, key))
        return;
    start_read(state, now, task, key, output);
    std::get<store_read>(output.back()).m_known_version = known_version(state, key);
}

void record_polled_version(node_state& state, const store_finished& answer)
{
    auto& own = state.m_ownership;
    const auto found = own.m_operations.find(answer.m_operation);
    if (found == own.m_operations.end() || answer.m_status != store_status::ok)
        return;
    const auto& operation = found->second;
    if (operation.m_kind == store_operation_kind::poll_plan_shard ||
        operation.m_kind == store_operation_kind::poll_slice_table)
        own.m_polled_versions[operation.m_key] = {answer.m_version, operation.m_incarnation};
}

void merge_plan_shard(node_state& state, const std::string& key, const std::string& text,
                      effects& output)
{
    std::size_t malformed = 0;
    const auto shard = plan_shard_from_text(text, malformed);
    if (!shard || malformed != 0)
        log_malformed(output, key, malformed);
    if (!shard)
        return;
    for (const auto& [member, value] : *shard)
        merge_plan(state, value);
}

void merge_slice_table(node_state& state, const std::string& space, const std::string& text,
                       effects& output)
{
    std::size_t malformed = 0;
    const auto table = slice_table_from_text(text, malformed);
    if (!table || malformed != 0)
        log_malformed(output, "slices/" + space, malformed);
    if (!table)
        return;
    for (const auto& [index, location] : *table)
        merge_location(state, {space, index}, location, output);
}

} // namespace azureladder::core
