#include "command.hpp"
#include "node_calls.hpp"

#include <algorithm>

/// Commands that show the state of the nodes.
namespace azureladder::cli {

namespace {

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Text of a field in a table: strings without quotes, "-" for none, the size of an array.
std::string cell(const json& object, const char* name)
{
    const json value = object.is_object() ? object.value(name, json()) : json();
    if (value.is_null() || value == "")
        return "-";
    if (value.is_string())
        return value.get<std::string>();
    return value.is_array() ? std::to_string(value.size()) : dump(value);
}

void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += "  " + row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size(), ' ');
        }
        out << line << "\n";
    }
}

void print_plans(std::ostream& out, const json& plans)
{
    std::vector<std::vector<std::string>> rows = {
        {"NODE", "ZONE", "SERVER", "SERVICE", "VERSION", "SLICES"}};
    for (const auto& plan : plans)
        rows.push_back({cell(plan, "node"), cell(plan, "zone"), cell(plan, "server"),
                        cell(plan, "service"), cell(plan, "version"), cell(plan, "slices")});
    print_table(out, rows);
}

void print_map(std::ostream& out, const char* title, const json& status, const char* name)
{
    const json map = status.value(name, json());
    if (!map.is_object() || map.empty())
        return;
    out << title << ":\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto& item : map.items())
        rows.push_back({item.key(), cell(map, item.key().c_str())});
    print_table(out, rows);
}

/// Prints the number of slices of each slice space and of each owner in it.
void print_slices(std::ostream& out, const json& status)
{
    const json spaces = status.value("slices", json());
    if (!spaces.is_object() || spaces.empty())
        return;
    out << "slices:\n";
    std::vector<std::vector<std::string>> rows = {{"SPACE", "SLICES", "OWNERS"}};
    for (const auto& space : spaces.items()) {
        std::map<std::string, std::size_t> owners;
        for (const auto& slice : space.value())
            ++owners[cell(slice, "owner")];
        std::string list;
        for (const auto& [owner, count] : owners)
            list += (list.empty() ? "" : ", ") + owner + " " + std::to_string(count);
        rows.push_back({space.key(), std::to_string(space.value().size()), list});
    }
    print_table(out, rows);
}

void print_status(std::ostream& out, const json& status)
{
    const bool serving = status.value("serving", json()) == true;
    out << "node " << cell(status, "node") << " in zone " << cell(status, "zone") << ", revision "
        << cell(status, "revision") << ", " << (serving ? "serving" : "not serving") << "\n";
    print_map(out, "zones", status, "zones");
    print_map(out, "servers", status, "servers");
    print_slices(out, status);
    const json plans = status.value("plans", json());
    if (plans.is_array() && !plans.empty()) {
        out << "nodes:\n";
        print_plans(out, plans);
    }
}

exit_code fail(const invocation& call, const call_failure& failure)
{
    call.m_environment.m_error << "node " << to_string(call.m_node) << ": " << failure.m_message
                               << "\n";
    return exit_code_for(failure);
}

exit_code show_change(const invocation& call, node_client& client, const std::string& apply_id)
{
    const auto progress = get_change(client, apply_id);
    if (!progress) {
        constexpr int http_not_found = 404;
        if (progress.error().m_status != http_not_found)
            return fail(call, progress.error());
        call.m_environment.m_error << "node " << to_string(call.m_node)
                                   << " has no record of the change; maximum number of "
                                      "apply ids in its configuration: "
                                   << records::document::max_apply_ids << "\n";
        return exit_code::unknown;
    }
    json object = to_json(progress.value());
    object["apply_id"] = apply_id;
    call.m_environment.m_out << (call.m_json ? dump(object) : format_progress(progress.value()))
                             << "\n";
    if (progress.value().m_state == "accepted")
        return exit_code::ok;
    return progress.value().m_state == "rejected" ? exit_code::rejected : exit_code::unknown;
}

exit_code run_status(const invocation& call)
{
    const auto client = call.m_environment.m_connect(call.m_node, call.m_timeout);
    const auto apply_id = call.m_options.find("apply-id");
    if (apply_id != call.m_options.end())
        return show_change(call, *client, apply_id->second);
    const auto status = get_json(*client, "/_azureladder/v1/status");
    if (!status)
        return fail(call, status.error());
    if (call.m_json)
        call.m_environment.m_out << dump(status.value()) << "\n";
    else
        print_status(call.m_environment.m_out, status.value());
    return exit_code::ok;
}

exit_code run_where(const invocation& call)
{
    const auto client = call.m_environment.m_connect(call.m_node, call.m_timeout);
    const auto place = get_json(
        *client, "/_azureladder/v1/operator/where?service=" + url_encode(call.m_arguments[0]) +
                     "&key=" + url_encode(call.m_arguments[1]));
    if (!place)
        return fail(call, place.error());
    if (call.m_json) {
        call.m_environment.m_out << dump(place.value()) << "\n";
        return exit_code::ok;
    }
    const json& object = place.value();
    call.m_environment.m_out << "slice " << cell(object, "slice") << " of " << cell(object, "space")
                             << ", epoch " << cell(object, "epoch") << "\nowner "
                             << cell(object, "owner") << ", server " << cell(object, "server")
                             << ", zone " << cell(object, "zone") << "\n";
    return exit_code::ok;
}

} // namespace

std::vector<command> status_commands()
{
    return {
        {"status",
         "",
         0,
         0,
         "Shows a node and its view of the cluster, or the outcome of one change",
         "Exit codes: 0 shown or accepted, 2 invalid arguments, 3 rejected, 4 outcome not known\n"
         "(yet), 5 node unreachable.\n"
         "\nExample: azureladder status --apply-id 7d44b8c1f0a94b0f8b3f7c0c86f2f8a1\n",
         {{"apply-id", "ID", "show the outcome of the change with this apply id"}},
         run_status},
        {"where",
         "SERVICE KEY",
         2,
         2,
         "Shows the slice and the owner of a key",
         "Exit codes: 0 shown, 1 the service does not exist or is not divided by key, 2 invalid\n"
         "arguments, 5 node unreachable. A KEY that begins with - follows after --.\n"
         "\nExample: azureladder where reporting franchise-17\n",
         {},
         run_where},
    };
}

} // namespace azureladder::cli
