#pragma once

#include "environment.hpp"
#include "exit_code.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Commands of the operator command line.
namespace azureladder::cli {

/// Parsed arguments of one run of the command line and the environment of the command.
struct invocation
{
    environment& m_environment;
    endpoint m_node;
    duration m_timeout;

    /// Whether to write results as JSON.
    bool m_json;

    std::vector<std::string> m_arguments;

    /// Options of the command by name; only those given.
    std::map<std::string, std::string> m_options;
};

/// An option of one command. Every option takes a value.
struct option_info
{
    const char* m_name;
    const char* m_argument;
    const char* m_description;
};

struct command
{
    std::string m_name;

    /// Positional arguments in the usage line, and their minimum and maximum number.
    std::string m_arguments;
    std::size_t m_min_arguments;
    std::size_t m_max_arguments;

    std::string m_summary;

    /// Exit codes and an example, for the help of the command.
    std::string m_details;
    std::vector<option_info> m_options;
    exit_code (*m_run)(const invocation&);
};

inline constexpr std::size_t unlimited_arguments = SIZE_MAX;

/// The commands apply, zone and server.
std::vector<command> change_commands();

/// The commands get, diff and validate.
std::vector<command> record_commands();

/// The commands status and where.
std::vector<command> status_commands();

/// The commands trace and audit.
std::vector<command> log_commands();

/// Parses `arguments` (without the program name) and runs the command in them.
exit_code run(const std::vector<std::string>& arguments, const std::vector<command>& commands,
              environment& env);

} // namespace azureladder::cli
