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

/// A failed call to a node.
struct call_failure
{
    /// HTTP status of the response; zero when there was no response or its body was invalid.
    int m_status = 0;
    std::string m_message;
};

/// Exit code of a query command whose call failed.
exit_code exit_code_for(const call_failure& failure);

/// Percent-encodes all bytes except unreserved characters.
std::string url_encode(std::string_view text);

/// Failure with the text of an error response {"error", "message"}, or with its status when the
/// body has another form.
call_failure make_call_failure(const node_response& response);

result<json, call_failure> get_json(node_client& client, const std::string& target);
result<records::document, call_failure> get_configuration(node_client& client);

/// Progress of a change as reported by a node.
struct change_progress
{
    /// "writing", "spreading", "accepted", "rejected" or "unknown"; "written" when the node does
    /// not track the change but has it in its configuration.
    std::string m_state;
    revision_number m_revision = 0;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_total = 0;
    std::vector<std::string> m_missing;
    std::string m_message;
};

bool is_final(const change_progress& progress);

/// One line of text, for example "spreading: 7 of 9 nodes acknowledged; waiting for n3".
std::string format_progress(const change_progress& progress);

json to_json(const change_progress& progress);

/// Queries a change by its apply id. If the node does not track the change, searches the node's
/// configuration for it.
result<change_progress, call_failure> get_change(node_client& client, const std::string& apply_id);

} // namespace azureladder::cli
