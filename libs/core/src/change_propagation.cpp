#include "change_internal.hpp"

#include <azureladder/core/directory.hpp>
#include <azureladder/core/node_state.hpp>
#include <azureladder/core/ownership.hpp>

namespace azureladder::core {

namespace {

bool acknowledged_since(const pending_change& change, const member_id& member, time_point since)
{
    const auto found = change.m_acknowledged.find(member);
    return found != change.m_acknowledged.end() && found->second <= since;
}

/// Witnesses that have required the revision for every lease grant since `since` or earlier.
std::vector<member_id> witnesses_requiring_revision(const node_state& state,
                                                    const pending_change& change,
                                                    const std::vector<member_id>& witnesses,
                                                    time_point since)
{
    std::vector<member_id> requiring;
    for (const auto& witness : witnesses) {
        const auto* newest = find_newest_plan(state.m_directory, witness.m_node);
        const bool restarted = newest != nullptr && newest->m_member != witness &&
                               acknowledged_since(change, newest->m_member, since);
        if (restarted || acknowledged_since(change, witness, since))
            requiring.push_back(witness);
    }
    return requiring;
}

/// Whether `member` has the revision or can no longer hold a lease without it.
bool has_or_requires_revision(const node_state& state, time_point now, const pending_change& change,
                              const plan& member)
{
    if (change.m_acknowledged.count(member.m_member) != 0)
        return true;
    if (member.m_witnesses.empty())
        return false;
    const auto margin =
        state.m_options.m_lease_duration * state.m_options.m_clock_rate_error_permille / 1000;
    const auto since = now - state.m_options.m_lease_duration - margin;
    const auto requiring = witnesses_requiring_revision(state, change, member.m_witnesses, since);
    const auto requiring_previous =
        witnesses_requiring_revision(state, change, member.m_previous_witnesses, since);
    return is_majority(requiring, member.m_witnesses) &&
           is_majority(requiring_previous, member.m_previous_witnesses);
}

void send_revision_probes(node_state& state, time_point now, pending_change& change,
                          effects& output)
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

bool all_have_or_require_revision(const node_state& state, time_point now, pending_change& change)
{
    change.m_missing.clear();
    const auto members = newest_plans(state.m_directory);
    change.m_total = members.size();
    for (const auto* member : members) {
        if (!has_or_requires_revision(state, now, change, *member))
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

void accept_change(pending_change& change, effects& output)
{
    json fields = change.m_placement;
    fields["apply_id"] = change.m_apply_id;
    fields["revision"] = change.m_revision;
    output.emplace_back(write_log{log_level::info, "change_accepted", std::move(fields)});
    change.m_phase = change_phase::accepted;
}

} // namespace

void advance_propagation(node_state& state, time_point now, pending_change& change, effects& output)
{
    const auto known = state.m_configuration.m_document.m_revision;
    if (known >= change.m_revision)
        change.m_acknowledged.emplace(self(state), now);
    send_revision_probes(state, now, change, output);
    if (!all_have_or_require_revision(state, now, change))
        return;
    if (change.m_verified)
        accept_change(change, output);
    else if (!change.m_verification_started)
        start_verification(state, change, output);
}

void handle_change_verification(node_state& state, time_point now, pending_change& change,
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
    advance_propagation(state, now, change, output);
}

} // namespace azureladder::core
