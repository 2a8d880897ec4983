#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/records/document.hpp>

#include <map>
#include <set>
#include <string>

namespace azureladder::core {

enum class change_phase
{
    writing,
    reading_back,
    spreading,
    accepted,
    rejected,
    unknown
};

inline constexpr enum_name<change_phase> change_phase_names[] = {
    {change_phase::writing, "writing"},     {change_phase::reading_back, "writing"},
    {change_phase::spreading, "spreading"}, {change_phase::accepted, "accepted"},
    {change_phase::rejected, "rejected"},   {change_phase::unknown, "unknown"},
};

/// A configuration change that an operator submitted to this node.
struct pending_change
{
    std::string m_apply_id;
    json m_records;
    revision_number m_base_revision = 0;
    change_phase m_phase = change_phase::writing;
    revision_number m_revision = 0;
    std::string m_message;
    operation_id m_operation = 0;
    std::uint32_t m_conflicts = 0;
    bool m_write_outstanding = false;

    /// A write ended without an answer, so the store may contain the change.
    bool m_may_be_written = false;

    /// JSON text of the written document, and the zones and backend servers whose state it changes.
    std::string m_text;
    json m_placement = json::object();
    time_point m_started{};
    time_point m_next_probe{};

    /// Members that acknowledged the revision, with the time of the acknowledgement.
    std::map<member_id, time_point> m_acknowledged;
    std::set<node_id> m_missing;
    std::size_t m_total = 0;

    /// Reads of the plan shards after the last acknowledgement, to find nodes that joined
    /// meanwhile.
    std::set<operation_id> m_verification_reads;
    bool m_verification_started = false;
    bool m_verification_failed = false;
    bool m_verified = false;
};

struct configuration_state
{
    records::document m_document;

    /// JSON text of `m_document` as the store contains it.
    std::string m_text;

    /// Open read of `config` by the join procedure or the periodic poll; zero when there is none.
    operation_id m_read_operation = 0;

    /// Version of `config` that was read last. Later reads send it, and the store answers
    /// `unchanged` when it is current.
    std::uint64_t m_known_version = 0;

    /// Whether `config` was read from the store since this incarnation's plan was written.
    bool m_read_after_join = false;
    time_point m_next_poll{};

    /// Whether a document was requested from a peer since the last tick.
    bool m_pull_sent = false;

    /// Changes by apply id. At most `max_changes` are kept; the oldest is removed first.
    std::map<std::string, pending_change> m_changes;

    static constexpr std::size_t max_changes = 256;
};

} // namespace azureladder::core
