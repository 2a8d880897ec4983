#include "arguments.hpp"
#include "command.hpp"
#include "node_calls.hpp"
#include "record_file.hpp"

#include <azureladder/base/object_reader.hpp>

#include <algorithm>
#include <optional>

/// Commands that change the configuration. Each sends its records once with a random apply id and
/// then polls the change by that id, so that a lost response does not cause a second change.
namespace azureladder::cli {

namespace {

constexpr std::uint64_t default_wait_ms = 15000;
constexpr std::uint64_t max_wait_ms = 3600000;
constexpr duration poll_interval = milliseconds(200);

const char* const changes_target = "/_azureladder/v1/operator/changes";

const std::vector<option_info>& change_options()
{
    static const std::vector<option_info> options = {
        {"base-revision", "N", "reject the change unless N is the revision in effect"},
        {"wait-ms", "N",
         "time to wait for the outcome in milliseconds, 0 to 3600000 (default 15000); 0 polls "
         "once"},
    };
    return options;
}

/// A submitted change and the deadline for its outcome.
struct submitted_change
{
    const invocation& m_call;
    node_client& m_client;
    std::string m_apply_id;
    time_point m_deadline;

    std::ostream& progress() const { return m_call.m_environment.m_error; }

    std::string status_command() const
    {
        return "azureladder --node " + to_string(m_call.m_node) + " status --apply-id " +
               m_apply_id;
    }
};

/// Prints the outcome as a line of text, or as one JSON object with --json. Returns `code`.
exit_code report_outcome(const submitted_change& item, exit_code code,
                         const change_progress& outcome)
{
    environment& env = item.m_call.m_environment;
    const bool unknown = code == exit_code::unknown;
    if (item.m_call.m_json) {
        json object = to_json(outcome);
        object["apply_id"] = item.m_apply_id;
        if (unknown)
            object["find_out"] = item.status_command();
        env.m_out << object.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
    } else if (unknown) {
        env.m_out << format_progress(outcome) << "\nTo query the outcome: " << item.status_command()
                  << "\n";
    } else {
        env.m_out << format_progress(outcome) << "\n";
    }
    return code;
}

exit_code report_final_outcome(const submitted_change& item, const change_progress& outcome)
{
    if (outcome.m_state == "accepted")
        return report_outcome(item, exit_code::ok, outcome);
    if (outcome.m_state == "rejected")
        return report_outcome(item, exit_code::rejected, outcome);
    return report_outcome(item, exit_code::unknown, outcome);
}

/// Polls the change until its outcome is final or the deadline has passed.
exit_code wait_for_outcome(const submitted_change& item)
{
    environment& env = item.m_call.m_environment;
    std::string last_line;
    change_progress outcome;
    while (true) {
        const auto response = get_change(item.m_client, item.m_apply_id);
        const std::string line = response ? format_progress(response.value())
                                          : "no outcome yet: " + response.error().m_message;
        if (response && is_final(response.value()))
            return report_final_outcome(item, response.value());
        if (response)
            outcome = response.value();
        if (line != last_line)
            item.progress() << line << "\n";
        last_line = line;
        const time_point now = env.m_now();
        if (now >= item.m_deadline)
            break;
        env.m_sleep(std::min(poll_interval, item.m_deadline - now));
    }
    outcome.m_state = "unknown";
    outcome.m_message =
        "the wait time expired before the outcome was final; last state: " + last_line;
    return report_outcome(item, exit_code::unknown, outcome);
}

/// Whether an error response guarantees that the change was not made.
bool is_rejection(const node_response& response)
{
    if (response.m_status >= 400 && response.m_status < 500)
        return true;
    const json body = json::parse(response.m_body, nullptr, false);
    return body.is_object() && body.value("executed", json()) == "no";
}

exit_code submit(const invocation& call, const json& records)
{
    environment& env = call.m_environment;
    const std::uint64_t base = number_option(call, "base-revision", 1, INT64_MAX, 0);
    const std::uint64_t wait_ms = number_option(call, "wait-ms", 0, max_wait_ms, default_wait_ms);
    const auto client = env.m_connect(call.m_node, call.m_timeout);
    const submitted_change item{call, *client, env.m_make_apply_id(),
                                env.m_now() + milliseconds(wait_ms)};
    item.progress() << "apply id " << item.m_apply_id << "\n";
    const json body = {
        {"apply_id", item.m_apply_id}, {"base_revision", base}, {"records", records}};
    const auto response = client->call("POST", changes_target, body.dump());
    change_progress outcome;
    if (!response && response.error().m_nothing_sent) {
        outcome.m_state = "not_sent";
        outcome.m_message = response.error().m_message;
        return report_outcome(item, exit_code::unreachable, outcome);
    }
    constexpr int http_accepted = 202;
    if (response && response.value().m_status == http_accepted)
        return wait_for_outcome(item);
    const std::string message =
        response ? make_call_failure(response.value()).m_message : response.error().m_message;
    if (response && is_rejection(response.value())) {
        outcome.m_state = "rejected";
        outcome.m_message = message;
        return report_outcome(item, exit_code::rejected, outcome);
    }
    item.progress() << "no definite response to the change (" << message
                    << "); querying the outcome\n";
    return wait_for_outcome(item);
}

exit_code run_apply(const invocation& call)
{
    const auto records = read_record_file(call.m_arguments[0]);
    if (!records) {
        call.m_environment.m_error << records.error().m_message << "\n";
        return exit_code::invalid_input;
    }
    return submit(call, records.value());
}

/// Warns when the node reports no node of the zone or server, because a record with a misspelt name
/// has no effect. The record is still sent: the view of the queried node may be incomplete.
void warn_if_not_reported(const invocation& call, const char* kind, const std::string& name)
{
    const auto client = call.m_environment.m_connect(call.m_node, call.m_timeout);
    const auto status = get_json(*client, "/_azureladder/v1/status");
    if (!status || !status.value().value("plans", json()).is_array())
        return;
    for (const auto& plan : status.value()["plans"]) {
        if (plan.is_object() && plan.value(kind, json()) == name)
            return;
    }
    call.m_environment.m_error << "warning: no node of " << kind << " " << name
                               << " is reported by " << to_string(call.m_node) << "\n";
}

exit_code submit_state(const invocation& call, const char* kind)
{
    const std::string& state = call.m_arguments[0];
    if (state != "in" && state != "out")
        throw usage_error(std::string(kind) + ": expected 'in' or 'out', found '" + state + "'");
    json record = {
        {"kind", kind}, {"schema_version", 2}, {"name", call.m_arguments[1]}, {"state", state}};
    const auto reason = call.m_options.find("reason");
    if (reason != call.m_options.end())
        record["reason"] = reason->second;
    const json records = json::array({record});
    if (const auto error = records::validate_records(records))
        throw usage_error(error->m_path + ": " + error->m_message);
    warn_if_not_reported(call, kind, call.m_arguments[1]);
    return submit(call, records);
}

exit_code run_zone(const invocation& call)
{
    return submit_state(call, "zone");
}

exit_code run_server(const invocation& call)
{
    return submit_state(call, "server");
}

std::vector<option_info> state_options()
{
    std::vector<option_info> options = change_options();
    options.push_back({"reason", "TEXT", "stored with the record and shown by get"});
    return options;
}

const char* const change_details =
    "Exit codes: 0 accepted (in effect on every node), 2 invalid arguments or file, 3 rejected,\n"
    "4 unknown (prints the command that queries the outcome), 5 node unreachable and nothing "
    "sent.\n";

} // namespace

std::vector<command> change_commands()
{
    const std::string details = change_details;
    return {
        {"apply", "FILE", 1, 1, "Adds or replaces the records in FILE and waits for the outcome",
         details + "\nFILE is JSON with comments and holds one record or an array of records.\n"
                   "Example: azureladder --node 10.0.0.1:8080 apply records.json\n",
         change_options(), run_apply},
        {"zone", "out|in NAME", 2, 2, "Takes an availability zone out of or into service",
         details + "\nExample: azureladder zone out scot-central-b --reason \"power work\"\n",
         state_options(), run_zone},
        {"server", "out|in NAME", 2, 2, "Takes a backend server out of or into service",
         details + "\nExample: azureladder server in pricing-2\n", state_options(), run_server},
    };
}

} // namespace azureladder::cli
