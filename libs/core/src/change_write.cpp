#include "change_internal.hpp"

#include <azureladder/core/node_state.hpp>
#include <azureladder/records/document.hpp>

namespace azureladder::core {

namespace {

/// Number of write conflicts after which a change without a base revision is rejected.
constexpr std::uint32_t max_write_conflicts = 8;

void start_propagation(node_state& state, time_point now, pending_change& change,
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

/// Names of the zones or backend servers that change to the state `wanted`.
json names_changed_to(const std::map<std::string, records::administrative_state>& before,
                      const std::map<std::string, records::administrative_state>& after,
                      records::administrative_state wanted)
{
    json names = json::array();
    for (const auto& [name, value] : after) {
        const auto old = before.find(name);
        const auto previous = old == before.end() ? records::administrative_state::in : old->second;
        if (value == wanted && previous != wanted)
            names.push_back(name);
    }
    return names;
}

json placement_changes(const records::document& before, const records::document& after)
{
    using records::administrative_state;
    return {{"removed_zones",
             names_changed_to(before.m_zones, after.m_zones, administrative_state::out)},
            {"returned_zones",
             names_changed_to(before.m_zones, after.m_zones, administrative_state::in)},
            {"removed_servers",
             names_changed_to(before.m_servers, after.m_servers, administrative_state::out)},
            {"returned_servers",
             names_changed_to(before.m_servers, after.m_servers, administrative_state::in)}};
}

void write_document(node_state& state, time_point now, pending_change& change,
                    const store_finished& read, effects& output)
{
    records::document base;
    if (read.m_status == store_status::ok) {
        auto parsed = records::parse_document(read.m_value);
        if (!parsed) {
            reject_change(change, "the configuration document in the store cannot be parsed",
                          output);
            return;
        }
        base = std::move(parsed.value());
    }
    if (records::has_apply_id(base, change.m_apply_id)) {
        // An earlier write of this change took effect, but its answer was lost.
        install_document_text(state, now, read.m_value, output);
        start_propagation(state, now, change, base.m_revision, output);
        return;
    }
    if (change.m_base_revision != 0 && change.m_base_revision != base.m_revision) {
        reject_change(change,
                      "conflict: the base revision is not the current revision " +
                          std::to_string(base.m_revision),
                      output);
        return;
    }
    auto applied = records::apply_records(base, change.m_records, change.m_apply_id);
    if (!applied) {
        reject_change(change, applied.error().m_path + ": " + applied.error().m_message, output);
        return;
    }
    change.m_placement = placement_changes(base, applied.value());
    change.m_text = records::serialize_document(applied.value());
    change.m_revision = applied.value().m_revision;
    change.m_write_outstanding = true;
    change.m_operation = next_operation(state);
    output.emplace_back(
        store_write{change.m_operation, configuration_key, change.m_text, read.m_version});
}

} // namespace

void reject_change(pending_change& change, std::string reason, effects& output)
{
    change.m_phase = change_phase::rejected;
    change.m_message = std::move(reason);
    json fields = {{"apply_id", change.m_apply_id},
                   {"revision", change.m_revision},
                   {"reason", change.m_message}};
    output.emplace_back(write_log{log_level::info, "change_rejected", std::move(fields)});
}

void start_change_read(node_state& state, pending_change& change, effects& output)
{
    change.m_operation = next_operation(state);
    output.emplace_back(store_read{change.m_operation, configuration_key});
}

void handle_change_write(node_state& state, time_point now, pending_change& change,
                         const store_finished& input, effects& output)
{
    change.m_write_outstanding = false;
    switch (input.m_status) {
    case store_status::ok:
        install_document_text(state, now, change.m_text, output);
        start_propagation(state, now, change, change.m_revision, output);
        break;
    case store_status::conflict:
        // Either another change was written first, or an earlier write of this change took effect
        // late.
        if (++change.m_conflicts > max_write_conflicts)
            reject_change(change, "conflict: another change was written before each attempt",
                          output);
        else
            start_change_read(state, change, output);
        break;
    default:
        // The write may still take effect. Retrying the change under compare-and-swap decides its
        // outcome: either that write succeeds or the document contains the apply id.
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
    if (!change.m_may_be_written && now - change.m_started > undecided_write_timeout) {
        reject_change(change, "the platform store is unavailable; the change was not written",
                      output);
        return;
    }
    change.m_phase = change_phase::reading_back;
    change.m_operation = 0;
    change.m_next_probe = now + state.m_options.m_resend_interval;
}

} // namespace azureladder::core
