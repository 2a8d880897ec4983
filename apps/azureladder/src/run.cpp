#include "arguments.hpp"
#include "command.hpp"

#include <boost/program_options.hpp>

#include <algorithm>

namespace azureladder::cli {

namespace {

namespace po = boost::program_options;

constexpr std::uint64_t max_timeout_ms = 600000;
constexpr duration default_timeout = seconds(5);
const endpoint default_node{"127.0.0.1", 8080};

const char* const general_exit_codes = "Exit codes: 0 ok, 1 check failed, 2 invalid input, "
                                       "3 rejected, 4 outcome unknown, 5 node unreachable.\n";

/// Rejects abbreviated long options, because a later option can make an abbreviation ambiguous.
constexpr int option_style =
    po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;

po::options_description global_options()
{
    po::options_description options("Global options");
    options.add_options()("help,h", "show this help and exit")(
        "node", po::value<std::string>()->value_name("IP:PORT"),
        "HTTP address of any router process (default 127.0.0.1:8080)")("json", po::bool_switch(),
                                                                       "write results as JSON")(
        "timeout-ms", po::value<std::string>()->value_name("N"),
        "timeout of a call to the node in milliseconds, 1 to 600000 (default 5000)");
    return options;
}

po::options_description options_of(const command& chosen)
{
    po::options_description options("Options of " + chosen.m_name);
    for (const auto& option : chosen.m_options)
        options.add_options()(option.m_name,
                              po::value<std::string>()->value_name(option.m_argument),
                              option.m_description);
    return options;
}

po::options_description positional_options()
{
    po::options_description options;
    options.add_options()("command", po::value<std::string>())(
        "argument", po::value<std::vector<std::string>>());
    return options;
}

po::variables_map parse(const std::vector<std::string>& arguments,
                        const po::options_description& options, bool allow_unknown)
{
    po::options_description all;
    all.add(options).add(positional_options());
    po::positional_options_description positions;
    positions.add("command", 1).add("argument", -1);
    po::command_line_parser parser(arguments);
    parser.options(all).positional(positions).style(option_style);
    if (allow_unknown)
        parser.allow_unregistered();
    po::variables_map values;
    po::store(parser.run(), values);
    return values;
}

void print_help(const std::vector<command>& commands, std::ostream& out)
{
    out << "usage: azureladder [GLOBAL OPTION...] COMMAND [ARGUMENT...]\n\nCommands:\n";
    for (const auto& item : commands) {
        std::string synopsis = item.m_name + " " + item.m_arguments;
        constexpr std::size_t column = 24;
        synopsis.resize(std::max(column, synopsis.size() + 1), ' ');
        out << "  " << synopsis << item.m_summary << "\n";
    }
    out << "\n"
        << global_options() << "\n"
        << general_exit_codes << "Options of a command: azureladder COMMAND --help\n";
}

void print_help(const command& chosen, std::ostream& out)
{
    out << "usage: azureladder [GLOBAL OPTION...] " << chosen.m_name;
    if (!chosen.m_arguments.empty())
        out << " " << chosen.m_arguments;
    out << (chosen.m_options.empty() ? "" : " [OPTION...]") << "\n\n" << chosen.m_summary << ".\n";
    if (!chosen.m_options.empty())
        out << "\n" << options_of(chosen);
    out << "\n" << global_options() << "\n" << chosen.m_details;
}

const command& find_command(const std::string& name, const std::vector<command>& commands)
{
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const command& item) { return item.m_name == name; });
    if (found == commands.end())
        throw usage_error("unknown command '" + name + "'");
    return *found;
}

void read_options(const po::variables_map& values, const command& chosen, invocation& call)
{
    if (values.count("node") != 0) {
        const std::string text = values["node"].as<std::string>();
        const auto node = parse_endpoint(text);
        if (!node || node->m_port == 0)
            throw usage_error("--node: expected an IP address and port, found '" + text + "'");
        call.m_node = *node;
    }
    if (values.count("timeout-ms") != 0)
        call.m_timeout = milliseconds(parse_number(
            "--timeout-ms", values["timeout-ms"].as<std::string>(), 1, max_timeout_ms));
    call.m_json = values["json"].as<bool>();
    if (values.count("argument") != 0)
        call.m_arguments = values["argument"].as<std::vector<std::string>>();
    const std::size_t count = call.m_arguments.size();
    if (count < chosen.m_min_arguments || count > chosen.m_max_arguments)
        throw usage_error(chosen.m_name + ": expected " +
                          (chosen.m_arguments.empty() ? "no argument" : chosen.m_arguments) +
                          ", found " + std::to_string(count) + " arguments");
    for (const auto& option : chosen.m_options) {
        if (values.count(option.m_name) != 0)
            call.m_options[option.m_name] = values[option.m_name].as<std::string>();
    }
}

exit_code parse_and_run(const std::vector<std::string>& arguments,
                        const std::vector<command>& commands, environment& env)
{
    // The first pass finds the command, which determines the allowed options.
    const auto first = parse(arguments, global_options(), true);
    if (first.count("command") == 0) {
        const auto all = parse(arguments, global_options(), false);
        if (all.count("help") == 0)
            throw usage_error("no command given");
        print_help(commands, env.m_out);
        return exit_code::ok;
    }
    const command& chosen = find_command(first["command"].as<std::string>(), commands);
    po::options_description options = global_options();
    options.add(options_of(chosen));
    const auto values = parse(arguments, options, false);
    if (values.count("help") != 0) {
        print_help(chosen, env.m_out);
        return exit_code::ok;
    }
    invocation call{env, default_node, default_timeout, false, {}, {}};
    read_options(values, chosen, call);
    return chosen.m_run(call);
}

} // namespace

exit_code run(const std::vector<std::string>& arguments, const std::vector<command>& commands,
              environment& env)
{
    try {
        return parse_and_run(arguments, commands, env);
    } catch (const po::error& error) {
        env.m_error << "azureladder: " << error.what() << "; see azureladder --help\n";
    } catch (const usage_error& error) {
        env.m_error << "azureladder: " << error.what() << "; see azureladder --help\n";
    }
    return exit_code::invalid_input;
}

} // namespace azureladder::cli
