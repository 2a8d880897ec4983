#include "ownership_internal.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/ownership.hpp>
#include <azureladder/core/plan_json.hpp>

#include <algorithm>
#include <set>

namespace azureladder::core {

namespace {

bool is_written_entry(const node_state& state, const slice_location& entry,
                      const slice_table_change& change)
{
    return entry.m_owner == self(state) && entry.m_epoch == change.m_epoch;
}

bool is_expected_entry(const slice_location& entry, const slice_table_change& change)
{
    return entry.m_owner == change.m_expected_entry.m_owner &&
           entry.m_epoch == change.m_expected_entry.m_epoch;
}

/// Whether the entry is the one from which a lost owner took over the slice without recording it.
/// No plan of that owner lists the slice, which a release and a takeover need, so it could not pass
/// the slice on. No node serves the slice then, and compare-and-swap lets only one change succeed.
bool precedes_lost_owner(const slice_location& entry, const slice_table_change& change)
{
    return change.m_owner_lost && entry.m_epoch != 0 &&
           entry.m_epoch + 1 == change.m_expected_entry.m_epoch;
}

/// Time for which requests of former owners may still be executed.
duration longest_former_execution_wait(const node_state& state, const slice_id& slice,
                                       const slice_table_change& change)
{
    const auto wait_for = [&](const member_id& member) {
        return former_execution_wait(state, slice, find_plan(state.m_directory, member));
    };
    // A lost owner that did not record its takeover may have been waiting for executions at the
    // owner before it.
    const auto longest =
        std::max(wait_for(change.m_expected_entry.m_owner), wait_for(change.m_replaced_owner));
    // The standby may have taken over the slice and been lost before any other node received its
    // notice.
    const auto* fenced = fenced_plan(state, change.m_expected_entry.m_owner);
    const auto* standby = fenced == nullptr ? nullptr : successor_of(*fenced, slice);
    if (standby == nullptr || *standby == self(state))
        return longest;
    return std::max(longest, wait_for(*standby));
}

void start_ownership(node_state& state, time_point now, const slice_id& slice,
                     const slice_table_change& change)
{
    if (change.m_claims_lost)
        mark_claims_incomplete(state, slice, now);
    held_slice held;
    held.m_reason = change.m_reason;
    held.m_recorded = true;
    if (change.m_claims_lost)
        held.m_serve_from = now + longest_former_execution_wait(state, slice, change);
    hold_slice(state, now, {slice, change.m_epoch}, held);
}

/// Completes a written change. Returns whether the node owns the slice now.
bool finish_table_change(node_state& state, time_point now, const owned_slice& written,
                         effects& output)
{
    auto& own = state.m_ownership;
    const auto& slice = written.m_slice;
    const auto found = own.m_slice_table_changes.find(slice);
    if (found == own.m_slice_table_changes.end() || found->second.m_epoch != written.m_epoch)
        return false;
    const auto change = std::move(found->second);
    own.m_slice_table_changes.erase(found);
    const auto held = own.m_slices.find(slice);
    if (!change.m_already_owned) {
        start_ownership(state, now, slice, change);
    } else if (held != own.m_slices.end()) {
        held->second.m_recorded = true;
        held->second.m_epoch = change.m_epoch;
        if (held->second.m_phase == slice_phase::taking_back) {
            resume_serving(held->second, now);
            held->second.m_reason = change.m_reason;
        }
    } else {
        return false;
    }
    merge_location(state, slice, {self(state), change.m_epoch}, output);
    return true;
}

void finish_table_changes(node_state& state, time_point now,
                          const std::vector<owned_slice>& written, effects& output)
{
    std::vector<owned_slice> owned;
    for (const auto& entry : written) {
        if (finish_table_change(state, now, entry, output))
            owned.push_back(entry);
    }
    update_serving(state, now, output);
    send_owner_notices(state, owned, output);
}

void abort_table_change(node_state& state, const slice_id& slice, const slice_location& entry,
                        effects& output)
{
    auto& own = state.m_ownership;
    const auto found = own.m_slice_table_changes.find(slice);
    if (found == own.m_slice_table_changes.end())
        return;
    const auto change = std::move(found->second);
    own.m_slice_table_changes.erase(found);
    if (entry.m_epoch != 0)
        merge_location(state, slice, entry, output);
    if (change.m_already_owned && own.m_slices.count(slice) != 0) {
        // The protocol does not produce another entry with a lower epoch. The slice is taken out of
        // service rather than served beside an unknown owner.
        log_event(output, log_level::error, "slice_table_conflict",
                  slice_fields(slice, change.m_epoch, member_text(entry.m_owner)));
        drop_slice(state, slice, "slice_table_conflict", output);
    }
}

/// Applies the changes of one shard whose expected entry is stored, and returns the slices to
/// write.
std::vector<owned_slice> apply_table_changes(node_state& state, time_point now,
                                             const std::string& key, const slice_table& table,
                                             json& object, effects& output)
{
    std::vector<slice_id> slices;
    for (const auto& [slice, change] : state.m_ownership.m_slice_table_changes) {
        if (table_key(state, slice) == key)
            slices.push_back(slice);
    }
    std::vector<owned_slice> written;
    std::vector<owned_slice> present;
    for (const auto& slice : slices) {
        auto& change = state.m_ownership.m_slice_table_changes.at(slice);
        const auto stored = table.find(slice.m_index);
        const auto entry = stored == table.end() ? slice_location{} : stored->second;
        if (is_written_entry(state, entry, change)) {
            present.push_back({slice, change.m_epoch});
        } else if (is_expected_entry(entry, change) || precedes_lost_owner(entry, change)) {
            change.m_replaced_owner = entry.m_owner;
            object[std::to_string(slice.m_index)] = location_to_json({self(state), change.m_epoch});
            written.push_back({slice, change.m_epoch});
        } else {
            abort_table_change(state, slice, entry, output);
        }
    }
    finish_table_changes(state, now, present, output);
    return written;
}

void write_slice_table(node_state& state, time_point now, const store_operation& read,
                       const store_finished& answer, json object, effects& output)
{
    std::size_t malformed = 0;
    const auto table = slice_table_from_text(answer.m_value, malformed).value_or(slice_table{});
    merge_slice_table(state, space_of_table_key(read.m_key), answer.m_value, output);
    store_operation operation;
    operation.m_kind = store_operation_kind::write_slice_table;
    operation.m_key = read.m_key;
    operation.m_slices = apply_table_changes(state, now, read.m_key, table, object, output);
    if (operation.m_slices.empty() || !holds_lease(state, now))
        return;
    start_write(state, now, operation, object.dump(), answer.m_version, output);
}

} // namespace

std::string table_key(const node_state& state, const slice_id& slice)
{
    return "slices/" + slice.m_space + "/" +
           std::to_string(slice.m_index % state.m_ownership.m_slice_shards);
}

void step_table_changes(node_state& state, time_point now, effects& output)
{
    const auto& own = state.m_ownership;
    if (own.m_slice_table_changes.empty() || !is_store_due(state, now) || !holds_lease(state, now))
        return;
    std::set<std::string> keys;
    for (const auto& [slice, change] : own.m_slice_table_changes)
        keys.insert(table_key(state, slice));
    for (const auto& key : keys) {
        if (!has_operation(state, store_operation_kind::read_slice_table, key) &&
            !has_operation(state, store_operation_kind::write_slice_table, key))
            start_read(state, now, store_operation_kind::read_slice_table, key, output);
    }
}

void finish_table_operation(node_state& state, time_point now, const store_operation& operation,
                            const store_finished& answer, effects& output)
{
    if (operation.m_kind == store_operation_kind::read_slice_table) {
        if (auto object = parse_for_update(state, now, operation, answer, output))
            write_slice_table(state, now, operation, answer, std::move(*object), output);
        return;
    }
    if (answer.m_status == store_status::ok)
        finish_table_changes(state, now, operation.m_slices, output);
    // After a conflict or a lost answer the next step reads the value again and compares it.
    step_table_changes(state, now, output);
}

} // namespace azureladder::core
