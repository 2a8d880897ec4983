#include "arguments.hpp"
#include "command.hpp"
#include "node_calls.hpp"
#include "record_file.hpp"

/// Commands that show or validate records without changing the configuration.
namespace azureladder::cli {

namespace {

std::string dump(const json& value, int indent = -1)
{
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

exit_code fail(const invocation& call, const call_failure& failure)
{
    call.m_environment.m_error << "node " << to_string(call.m_node) << ": " << failure.m_message
                               << "\n";
    return exit_code_for(failure);
}

exit_code fail(const invocation& call, const file_error& error)
{
    call.m_environment.m_error << error.m_message << "\n";
    return exit_code::invalid_input;
}

void check_kind(const std::string& kind)
{
    if (kind != "service" && kind != "key_policy" && kind != "zone" && kind != "server")
        throw usage_error("get: expected a kind (service, key_policy, zone, server), found '" +
                          kind + "'");
}

/// Whether the record with the key "kind/name" matches the argument KIND or KIND/NAME of get.
bool is_selected(const std::string& key, const std::string& selection)
{
    if (selection.empty() || key == selection)
        return true;
    const bool whole_kind = selection.find('/') == std::string::npos;
    return whole_kind && key.compare(0, selection.size() + 1, selection + "/") == 0;
}

exit_code run_get(const invocation& call)
{
    const std::string selection = call.m_arguments.empty() ? "" : call.m_arguments[0];
    if (!call.m_arguments.empty())
        check_kind(selection.substr(0, selection.find('/')));
    const auto client = call.m_environment.m_connect(call.m_node, call.m_timeout);
    const auto document = get_configuration(*client);
    if (!document)
        return fail(call, document.error());
    json selected = json::array();
    for (const auto& [key, record] : document.value().m_records) {
        if (is_selected(key, selection))
            selected.push_back(record);
    }
    if (selected.empty() && selection.find('/') != std::string::npos) {
        call.m_environment.m_error << "no record " << selection << " at revision "
                                   << document.value().m_revision << "\n";
        return exit_code::check_failed;
    }
    std::ostream& out = call.m_environment.m_out;
    if (call.m_json)
        out << dump({{"revision", document.value().m_revision}, {"records", selected}}) << "\n";
    else
        out << "// revision " << document.value().m_revision << "\n" << dump(selected, 2) << "\n";
    return exit_code::ok;
}

void print_differences(const invocation& call, const records::document& base,
                       const json& differences)
{
    std::ostream& out = call.m_environment.m_out;
    if (call.m_json) {
        out << dump({{"revision", base.m_revision}, {"differences", differences}}) << "\n";
        return;
    }
    for (const auto& item : differences) {
        const std::string record = item["record"].get<std::string>();
        const bool is_new = base.m_records.count(record) == 0;
        out << record << " " << item["path"].get<std::string>() << ": "
            << (is_new ? "(new) " : dump(item["from"]) + " -> ") << dump(item["to"]) << "\n";
    }
    if (differences.empty())
        out << "no difference to revision " << base.m_revision << "\n";
}

exit_code run_diff(const invocation& call)
{
    const auto records = read_record_file(call.m_arguments[0]);
    if (!records)
        return fail(call, records.error());
    const auto client = call.m_environment.m_connect(call.m_node, call.m_timeout);
    const auto base = get_configuration(*client);
    if (!base)
        return fail(call, base.error());
    print_differences(call, base.value(), records::diff_records(base.value(), records.value()));
    const auto applied = records::apply_records(base.value(), records.value(), "diff");
    if (!applied) {
        call.m_environment.m_error << "apply would be rejected: " << applied.error().m_path << ": "
                                   << applied.error().m_message << "\n";
        return exit_code::rejected;
    }
    return exit_code::ok;
}

exit_code run_validate(const invocation& call)
{
    const auto records = read_record_file(call.m_arguments[0]);
    if (!records)
        return fail(call, records.error());
    if (call.m_json)
        call.m_environment.m_out << dump({{"records", records.value().size()}}) << "\n";
    else
        call.m_environment.m_out << call.m_arguments[0] << ": " << records.value().size()
                                 << " valid records\n";
    return exit_code::ok;
}

} // namespace

std::vector<command> record_commands()
{
    return {
        {"get",
         "[KIND[/NAME]]",
         0,
         1,
         "Shows the records in effect, in the format of apply",
         "KIND is service, key_policy, zone or server.\n"
         "Exit codes: 0 shown, 1 no such record, 2 invalid arguments, 5 node unreachable.\n"
         "\nExample: azureladder get service/catalogue\n",
         {},
         run_get},
        {"diff",
         "FILE",
         1,
         1,
         "Shows what applying FILE would change",
         "Exit codes: 0 with or without differences, 2 invalid arguments or file, 3 apply would\n"
         "be rejected, 5 node unreachable.\n\nExample: azureladder diff records.json\n",
         {},
         run_diff},
        {"validate",
         "FILE",
         1,
         1,
         "Validates the records in FILE without contacting a node",
         "Exit codes: 0 valid, 2 invalid arguments or file.\n"
         "\nExample: azureladder validate records.json\n",
         {},
         run_validate},
    };
}

} // namespace azureladder::cli
