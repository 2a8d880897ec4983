#include "change.hpp"

#include "change_internal.hpp"

#include <azureladder/core/configuration.hpp>
#include <azureladder/core/node_state.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

void drop_oldest_changes(configuration_state& configuration)
{
    while (configuration.m_changes.size() >= configuration_state::max_changes) {
        auto oldest = std::min_element(
            configuration.m_changes.begin(), configuration.m_changes.end(),
            [](const auto& a, const auto& b) { return a.second.m_started < b.second.m_started; });
        configuration.m_changes.erase(oldest);
    }
}

} // namespace

void start_change(node_state& state, time_point now, const change_requested& input, effects& output)
{
    auto& configuration = state.m_configuration;
    if (configuration.m_changes.count(input.m_apply_id) != 0)
        return; // a repeated request for a change that is already under way
    drop_oldest_changes(configuration);
    auto& change = configuration.m_changes[input.m_apply_id];
    change.m_apply_id = input.m_apply_id;
    change.m_records = input.m_records;
    change.m_base_revision = input.m_base_revision;
    change.m_started = now;
    json fields = {{"apply_id", input.m_apply_id}, {"records", input.m_records.size()}};
    output.emplace_back(write_log{log_level::info, "change_requested", std::move(fields)});
    if (const auto error = records::validate_records(input.m_records)) {
        reject_change(change, error->m_path + ": " + error->m_message, output);
        return;
    }
    start_change_read(state, change, output);
}

void advance_changes(node_state& state, time_point now, effects& output)
{
    for (auto& entry : state.m_configuration.m_changes) {
        auto& change = entry.second;
        if (change.m_phase == change_phase::spreading) {
            advance_propagation(state, now, change, output);
            continue;
        }
        const bool undecided =
            change.m_phase == change_phase::reading_back || change.m_phase == change_phase::unknown;
        if (!undecided)
            continue;
        if (change.m_may_be_written && now - change.m_started > undecided_write_timeout)
            change.m_phase = change_phase::unknown;
        if (change.m_operation == 0 && now >= change.m_next_probe)
            start_change_read(state, change, output);
    }
}

void handle_change_store_answer(node_state& state, time_point now, const store_finished& input,
                                effects& output)
{
    for (auto& entry : state.m_configuration.m_changes) {
        auto& change = entry.second;
        if (change.m_verification_reads.count(input.m_operation) != 0) {
            handle_change_verification(state, now, change, input, output);
            return;
        }
        if (change.m_operation != input.m_operation)
            continue;
        if (change.m_write_outstanding)
            handle_change_write(state, now, change, input, output);
        else
            handle_change_read(state, now, change, input, output);
        return;
    }
}

void record_acknowledgement(node_state& state, time_point now, const member_id& member,
                            revision_number revision)
{
    for (auto& entry : state.m_configuration.m_changes) {
        auto& change = entry.second;
        if (change.m_phase == change_phase::spreading && revision >= change.m_revision)
            change.m_acknowledged.emplace(member, now);
    }
}

json change_progress(const node_state& state, const std::string& apply_id)
{
    const auto found = state.m_configuration.m_changes.find(apply_id);
    if (found == state.m_configuration.m_changes.end()) {
        if (!records::has_apply_id(state.m_configuration.m_document, apply_id))
            return nullptr;
        // Only the document contains the change: another node coordinates it.
        return {{"state", "unknown"},
                {"revision", state.m_configuration.m_document.m_revision},
                {"acknowledged", 0},
                {"total", 0},
                {"missing", json::array()},
                {"message",
                 "the configuration document contains the change; another node coordinates it"}};
    }
    const auto& change = found->second;
    return {{"state", find_enum_name(change_phase_names, change.m_phase)},
            {"revision", change.m_revision},
            {"acknowledged", change.m_total - change.m_missing.size()},
            {"total", change.m_total},
            {"missing", change.m_missing},
            {"message", change.m_message}};
}

} // namespace azureladder::core
