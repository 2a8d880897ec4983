#include "command.hpp"

#include <azureladder/audit/check.hpp>
#include <azureladder/audit/format.hpp>
#include <azureladder/audit/log_reader.hpp>
#include <azureladder/audit/trace.hpp>

#include <algorithm>

/// Commands that read logs and contact no node.
namespace azureladder::cli {

namespace {

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

exit_code fail(const invocation& call, const audit::log_error& error)
{
    call.m_environment.m_error << to_string(error) << "\n";
    return exit_code::invalid_input;
}

exit_code run_trace(const invocation& call)
{
    const std::string& request_id = call.m_arguments[0];
    const auto events = audit::read_logs({call.m_arguments.begin() + 1, call.m_arguments.end()});
    if (!events)
        return fail(call, events.error());
    const auto steps = audit::trace(events.value(), request_id);
    if (steps.m_steps.empty()) {
        call.m_environment.m_error << "no log has a line of request " << request_id << "\n";
        return exit_code::check_failed;
    }
    if (call.m_json)
        call.m_environment.m_out << dump(audit::to_json(steps)) << "\n";
    else
        call.m_environment.m_out << audit::to_text(steps);
    return exit_code::ok;
}

/// Whether there are malformed lines other than last lines truncated by the end of a process. Such
/// a line may contain a violation, so the audit must not pass.
bool has_unreadable_lines(const audit::history& events)
{
    if (events.m_malformed_count > events.m_malformed.size())
        return true;
    return std::any_of(events.m_malformed.begin(), events.m_malformed.end(),
                       [](const audit::malformed_line& line) { return !line.m_is_truncated; });
}

exit_code run_audit(const invocation& call)
{
    const auto events = audit::read_logs(call.m_arguments);
    if (!events)
        return fail(call, events.error());
    const auto found = audit::check(events.value());
    if (call.m_json)
        call.m_environment.m_out << dump(audit::report_json(events.value(), found)) << "\n";
    else
        call.m_environment.m_out << audit::report_text(events.value(), found);
    if (events.value().m_events.empty()) {
        call.m_environment.m_error << "the logs contain no event that the audit checks\n";
        return exit_code::invalid_input;
    }
    const bool passed = found.empty() && !has_unreadable_lines(events.value());
    return passed ? exit_code::ok : exit_code::check_failed;
}

} // namespace

std::vector<command> log_commands()
{
    return {
        {"trace",
         "REQUEST_ID LOG...",
         2,
         unlimited_arguments,
         "Shows the path of one request from the logs of all nodes",
         "Exit codes: 0 shown, 1 no log has a line of the request, 2 invalid arguments or log.\n"
         "\nExample: azureladder trace 5f0c-17 /var/log/azureladder/*.log\n",
         {},
         run_trace},
        {"audit",
         "LOG...",
         1,
         unlimited_arguments,
         "Checks that the logs show no violation of the rules of docs/design.md, section 1.3",
         "Exit codes: 0 no violation, 1 violations or malformed lines, 2 invalid\n"
         "arguments or log.\n\nExample: azureladder audit /var/log/azureladder/*.log\n",
         {},
         run_audit},
    };
}

} // namespace azureladder::cli
