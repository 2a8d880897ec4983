#pragma once

#include "environment.hpp"
#include "exit_code.hpp"

#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/records/document.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Typed calls to the HTTP interface of a node.
namespace azureladder::cli {

/// A call that did not give what was asked for.
struct call_failure
{
    /// Status of the answer; zero when there was none or it could not be read.
    int m_status = 0;
    std::string m_message;
};

/// Exit code of a command that only reads.
exit_code exit_code_for(const call_failure& failure);

/// Percent-encodes all bytes except unreserved characters.
std::string url_encode(std::string_view text);

/// Message of an error reply {"error", "message"}, or its status when the body is something else.
call_failure failure_of(const reply& answer);

result<json, call_failure> get_json(node_client& client, const std::string& target);
result<records::document, call_failure> get_configuration(node_client& client);

/// What a node knows about a change.
struct change_progress
{
    /// "writing", "spreading", "accepted", "rejected" or "unknown"; "written" when the node did
    /// not follow the change but has it in its configuration.
    std::string m_state;
    revision_number m_revision = 0;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_total = 0;
    std::vector<std::string> m_missing;
    std::string m_message;
};

bool is_final(const change_progress& progress);

/// "spreading: 7 of 9 nodes acknowledged; waiting for n3".
std::string to_line(const change_progress& progress);

json to_json(const change_progress& progress);

/// Asks for a change by its apply id. A node that did not follow the change looks for it in its
/// configuration.
result<change_progress, call_failure> get_change(node_client& client, const std::string& apply_id);

} // namespace azureladder::cli
