#include "change.hpp"

#include <azureladder/core/configuration.hpp>
#include <azureladder/core/directory.hpp>
#include <azureladder/core/node_state.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

/// Lost races after which a change without a base revision is rejected.
constexpr std::uint32_t max_conflicts = 8;

/// Time after which an undecided write is shown as unknown. The node goes on to settle it.
constexpr duration unknown_after = seconds(10);

void finish(pending_change& change, change_phase phase, std::string message, effects& output)
{
    change.m_phase = phase;
    change.m_message = std::move(message);
    json fields = {{"apply_id", change.m_apply_id},
                   {"revision", change.m_revision},
                   {"reason", change.m_message}};
    if (phase == change_phase::rejected)
        output.emplace_back(write_log{log_level::info, "change_rejected", std::move(fields)});
}

void read_document(node_state& state, pending_change& change, effects& output)
{
    change.m_operation = next_operation(state);
    output.emplace_back(store_read{change.m_operation, configuration_key});
}

void start_spreading(node_state& state, time_point now, pending_change& change,
                     revision_number revision, effects& output)
{
    change.m_phase = change_phase::spreading;
    change.m_operation = 0;
    change.m_revision = revision;
    change.m_next_probe = now;
    change.m_acknowledged[self(state)] = now;
    json fields = {{"apply_id", change.m_apply_id}, {"revision", revision}};
    output.emplace_back(write_log{log_level::info, "change_written", std::move(fields)});
}

/// Names of zones or backend servers whose state differs between two documents.
json changed_names(const std::map<std::string, records::service_state>& before,
                   const std::map<std::string, records::service_state>& after,
                   records::service_state wanted)
{
    json names = json::array();
    for (const auto& [name, value] : after) {
        const auto old = before.find(name);
        const auto previous = old == before.end() ? records::service_state::in : old->second;
        if (value == wanted && previous != wanted)
            names.push_back(name);
    }
    return names;
}

json effect_on_placement(const records::document& before, const records::document& after)
{
    using records::service_state;
    return {
        {"removed_zones", changed_names(before.m_zones, after.m_zones, service_state::out)},
        {"returned_zones", changed_names(before.m_zones, after.m_zones, service_state::in)},
        {"removed_servers", changed_names(before.m_servers, after.m_servers, service_state::out)},
        {"returned_servers", changed_names(before.m_servers, after.m_servers, service_state::in)}};
}

void write_document(node_state& state, time_point now, pending_change& change,
                    const store_finished& read, effects& output)
{
    records::document base;
    if (read.m_status == store_status::ok) {
        auto parsed = records::parse_document(read.m_value);
        if (!parsed) {
            finish(change, change_phase::rejected, "the stored document is not readable", output);
            return;
        }
        base = std::move(parsed.value());
    }
    if (records::has_apply_id(base, change.m_apply_id)) {
        // An earlier write of this change took effect although its answer was lost.
        install_text(state, now, read.m_value, output);
        start_spreading(state, now, change, base.m_revision, output);
        return;
    }
    if (change.m_base_revision != 0 && change.m_base_revision != base.m_revision) {
        finish(change, change_phase::rejected,
               "conflict: the current revision is " + std::to_string(base.m_revision), output);
        return;
    }
    auto applied = records::apply_records(base, change.m_records, change.m_apply_id);
    if (!applied) {
        finish(change, change_phase::rejected,
               applied.error().m_path + ": " + applied.error().m_message, output);
        return;
    }
    change.m_placement = effect_on_placement(base, applied.value());
    change.m_text = records::to_text(applied.value());
    change.m_revision = applied.value().m_revision;
    change.m_write_outstanding = true;
    change.m_operation = next_operation(state);
    output.emplace_back(
        store_write{change.m_operation, configuration_key, change.m_text, read.m_version});
}

void handle_write(node_state& state, time_point now, pending_change& change,
                  const store_finished& input, effects& output)
{
    change.m_write_outstanding = false;
    switch (input.m_status) {
    case store_status::ok:
        install_text(state, now, change.m_text, output);
        start_spreading(state, now, change, change.m_revision, output);
        break;
    case store_status::conflict:
        // Either another operator was first, or an earlier write of this change was applied late.
        if (++change.m_conflicts > max_conflicts)
            finish(change, change_phase::rejected, "conflict with other changes", output);
        else
            read_document(state, change, output);
        break;
    default:
        // The write may still take effect. Writing the same change again under compare-and-swap
        // settles it: either that write succeeds or the document shows the apply id.
        if (input.m_status == store_status::unknown)
            change.m_may_be_written = true;
        change.m_phase = change_phase::reading_back;
        change.m_operation = 0;
        change.m_next_probe = now + state.m_options.m_resend_interval;
        break;
    }
}

void handle_change_read(node_state& state, time_point now, pending_change& change,
                        const store_finished& input, effects& output)
{
    const bool answered =
        input.m_status == store_status::ok || input.m_status == store_status::not_found;
    if (answered) {
        write_document(state, now, change, input, output);
        return;
    }
    if (!change.m_may_be_written && now - change.m_started > unknown_after) {
        finish(change, change_phase::rejected,
               "the platform store is not available; nothing was changed", output);
        return;
    }
    change.m_phase = change_phase::reading_back;
    change.m_operation = 0;
    change.m_next_probe = now + state.m_options.m_resend_interval;
}

bool acknowledged_since(const pending_change& change, const member_ref& member, time_point since)
{
    const auto found = change.m_acknowledged.find(member);
    return found != change.m_acknowledged.end() && found->second <= since;
}

/// Witnesses that cannot grant a lease without the revision, since at least `since`.
std::vector<member_ref> closed_witnesses(const node_state& state, const pending_change& change,
                                         const std::vector<member_ref>& witnesses, time_point since)
{
    std::vector<member_ref> closed;
    for (const auto& witness : witnesses) {
        const auto* newest = find_newest_plan(state.m_directory, witness.m_node);
        const bool restarted = newest != nullptr && newest->m_member != witness &&
                               acknowledged_since(change, newest->m_member, since);
        if (restarted || acknowledged_since(change, witness, since))
            closed.push_back(witness);
    }
    return closed;
}

/// Whether `member` either has the revision or can no longer hold a lease without it.
bool covers(const node_state& state, time_point now, const pending_change& change,
            const plan& member)
{
    if (change.m_acknowledged.count(member.m_member) != 0)
        return true;
    if (member.m_witnesses.empty())
        return false;
    const auto margin =
        state.m_options.m_lease_duration * state.m_options.m_clock_rate_error_permille / 1000;
    const auto since = now - state.m_options.m_lease_duration - margin;
    const auto closed = closed_witnesses(state, change, member.m_witnesses, since);
    const auto closed_previous =
        closed_witnesses(state, change, member.m_previous_witnesses, since);
    return is_majority(closed, member.m_witnesses) &&
           is_majority(closed_previous, member.m_previous_witnesses);
}

void probe_members(node_state& state, time_point now, pending_change& change, effects& output)
{
    if (now < change.m_next_probe)
        return;
    change.m_next_probe = now + state.m_options.m_resend_interval;
    for (const auto* member : newest_plans(state.m_directory)) {
        if (change.m_acknowledged.count(member->m_member) == 0)
            output.emplace_back(send_message{member->m_member, member->m_peer_address,
                                             revision_probe{change.m_revision}});
    }
}

bool all_covered(const node_state& state, time_point now, pending_change& change)
{
    change.m_missing.clear();
    const auto members = newest_plans(state.m_directory);
    change.m_total = members.size();
    for (const auto* member : members) {
        if (!covers(state, now, change, *member))
            change.m_missing.insert(member->m_member.m_node);
    }
    return change.m_missing.empty();
}

void start_verification(node_state& state, pending_change& change, effects& output)
{
    for (const auto& key : plan_shard_keys(state)) {
        const auto operation = next_operation(state);
        change.m_verification_reads.insert(operation);
        output.emplace_back(store_read{operation, key});
    }
    change.m_verification_started = true;
    change.m_verification_failed = false;
}

void accept(pending_change& change, effects& output)
{
    json fields = change.m_placement;
    fields["apply_id"] = change.m_apply_id;
    fields["revision"] = change.m_revision;
    output.emplace_back(write_log{log_level::info, "change_accepted", std::move(fields)});
    change.m_phase = change_phase::accepted;
}

void advance_spreading(node_state& state, time_point now, pending_change& change, effects& output)
{
    const auto known = state.m_configuration.m_document.m_revision;
    if (known >= change.m_revision)
        change.m_acknowledged.emplace(self(state), now);
    probe_members(state, now, change, output);
    if (!all_covered(state, now, change))
        return;
    if (change.m_verified)
        accept(change, output);
    else if (!change.m_verification_started)
        start_verification(state, change, output);
}

void handle_verification(node_state& state, time_point now, pending_change& change,
                         const store_finished& input, effects& output)
{
    change.m_verification_reads.erase(input.m_operation);
    if (input.m_status == store_status::ok) {
        for (const auto& member : plans_from_text(input.m_value))
            install_plan(state.m_directory, member);
    } else if (input.m_status != store_status::not_found) {
        change.m_verification_failed = true;
    }
    if (!change.m_verification_reads.empty())
        return;
    change.m_verification_started = !change.m_verification_failed;
    change.m_verified = !change.m_verification_failed;
    advance_spreading(state, now, change, output);
}

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
        finish(change, change_phase::rejected, error->m_path + ": " + error->m_message, output);
        return;
    }
    read_document(state, change, output);
}

void advance_changes(node_state& state, time_point now, effects& output)
{
    for (auto& entry : state.m_configuration.m_changes) {
        auto& change = entry.second;
        if (change.m_phase == change_phase::spreading) {
            advance_spreading(state, now, change, output);
            continue;
        }
        const bool undecided =
            change.m_phase == change_phase::reading_back || change.m_phase == change_phase::unknown;
        if (!undecided)
            continue;
        if (change.m_may_be_written && now - change.m_started > unknown_after)
            change.m_phase = change_phase::unknown;
        if (change.m_operation == 0 && now >= change.m_next_probe)
            read_document(state, change, output);
    }
}

void handle_change_store(node_state& state, time_point now, const store_finished& input,
                         effects& output)
{
    for (auto& entry : state.m_configuration.m_changes) {
        auto& change = entry.second;
        if (change.m_verification_reads.count(input.m_operation) != 0) {
            handle_verification(state, now, change, input, output);
            return;
        }
        if (change.m_operation != input.m_operation)
            continue;
        if (change.m_write_outstanding)
            handle_write(state, now, change, input, output);
        else
            handle_change_read(state, now, change, input, output);
        return;
    }
}

void note_acknowledgement(node_state& state, time_point now, const member_ref& member,
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
        // Known from the document only: this node did not coordinate the change.
        return {{"state", "unknown"},
                {"revision", state.m_configuration.m_document.m_revision},
                {"acknowledged", 0},
                {"total", 0},
                {"missing", json::array()},
                {"message", "the change is in the document; another node coordinates it"}};
    }
    const auto& change = found->second;
    return {{"state", name_in(change_phase_names, change.m_phase)},
            {"revision", change.m_revision},
            {"acknowledged", change.m_total - change.m_missing.size()},
            {"total", change.m_total},
            {"missing", change.m_missing},
            {"message", change.m_message}};
}

} // namespace azureladder::core
