#include "ownership_internal.hpp"

#include <azureladder/core/plan_json.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

constexpr duration first_store_backoff = milliseconds(100);
constexpr duration store_log_interval = seconds(5);

void record_store_success(ownership_state& own)
{
    own.m_store_down = false;
    own.m_store_backoff = duration(0);
    own.m_store_retry_at = time_point{};
}

void record_store_failure(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (!own.m_store_down)
        own.m_store_down_since = now;
    own.m_store_down = true;
    own.m_store_backoff = std::clamp(own.m_store_backoff * 2, first_store_backoff,
                                     state.m_options.m_max_store_backoff);
    own.m_store_retry_at = now + own.m_store_backoff;
    if (now < own.m_next_store_log)
        return;
    own.m_next_store_log = now + store_log_interval;
    log_event(output, log_level::warning, "store_unavailable",
              {{"down_ms", to_ms(now - own.m_store_down_since)}});
}

} // namespace

bool is_store_due(const node_state& state, time_point now)
{
    return now >= state.m_ownership.m_store_retry_at;
}

bool has_operation(const node_state& state, store_operation_kind task, const std::string& key)
{
    const auto& operations = state.m_ownership.m_operations;
    return std::any_of(operations.begin(), operations.end(), [&](const auto& entry) {
        const auto& operation = entry.second;
        return operation.m_kind == task && operation.m_incarnation == state.m_incarnation &&
               (key.empty() || operation.m_key == key);
    });
}

void start_read(node_state& state, time_point now, store_operation_kind task,
                const std::string& key, effects& output)
{
    const auto id = next_operation(state);
    store_operation operation;
    operation.m_kind = task;
    operation.m_key = key;
    operation.m_incarnation = state.m_incarnation;
    operation.m_started = now;
    state.m_ownership.m_operations[id] = operation;
    output.push_back(store_read{id, key});
}

void start_write(node_state& state, time_point now, store_operation operation,
                 const std::string& value, std::uint64_t version, effects& output)
{
    const auto id = next_operation(state);
    operation.m_incarnation = state.m_incarnation;
    operation.m_started = now;
    output.push_back(store_write{id, operation.m_key, value, version});
    state.m_ownership.m_operations[id] = std::move(operation);
}

std::optional<json> parse_for_update(node_state& state, time_point now, const store_operation& read,
                                     const store_finished& answer, effects& output)
{
    if (answer.m_status != store_status::ok && answer.m_status != store_status::not_found)
        return std::nullopt;
    auto object = parse_object(answer.m_value);
    if (!object) {
        log_event(output, log_level::error, "store_value_malformed", {{"key", read.m_key}});
        state.m_ownership.m_store_retry_at = now + state.m_options.m_max_store_backoff;
    }
    return object;
}

void handle_store_answer(node_state& state, time_point now, const store_finished& answer,
                         effects& output)
{
    auto& own = state.m_ownership;
    const auto found = own.m_operations.find(answer.m_operation);
    if (found == own.m_operations.end())
        return;
    const auto operation = std::move(found->second);
    own.m_operations.erase(found);
    if (answer.m_status == store_status::unavailable || answer.m_status == store_status::unknown)
        record_store_failure(state, now, output);
    else
        record_store_success(own);
    if (operation.m_incarnation != state.m_incarnation)
        return;

    switch (operation.m_kind) {
    case store_operation_kind::read_cluster:
    case store_operation_kind::write_cluster:
    case store_operation_kind::read_join_plan_shard:
        finish_join_operation(state, now, operation, answer, output);
        break;
    case store_operation_kind::read_own_plan:
    case store_operation_kind::write_own_plan:
        finish_plan_operation(state, now, operation, answer, output);
        break;
    case store_operation_kind::poll_plan_shard:
        if (answer.m_status == store_status::ok)
            merge_plan_shard(state, operation.m_key, answer.m_value, output);
        break;
    case store_operation_kind::poll_slice_table:
        if (answer.m_status == store_status::ok) {
            merge_slice_table(state, space_of_table_key(operation.m_key), answer.m_value, output);
        }
        break;
    case store_operation_kind::read_slice_table:
    case store_operation_kind::write_slice_table:
        finish_table_operation(state, now, operation, answer, output);
        break;
    }
}

} // namespace azureladder::core
