#pragma once

#include "environment.hpp"
#include "exit_code.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Commands of the operators' command line.
namespace azureladder::cli {

/// Arguments of one call of the command line.
struct invocation
{
    environment& m_environment;
    endpoint m_node;
    duration m_timeout;

    /// Whether results are written as JSON.
    bool m_json;

    std::vector<std::string> m_arguments;

    /// Options of the command that were given.
    std::map<std::string, std::string> m_options;
};

/// An option of one command. All take a value.
struct option_info
{
    const char* m_name;
    const char* m_argument;
    const char* m_description;
};

struct command
{
    std::string m_name;

    /// Positional arguments for the usage line, and how many are expected.
    std::string m_arguments;
    std::size_t m_min_arguments;
    std::size_t m_max_arguments;

    std::string m_summary;

    /// Exit codes and an example, for the help of the command.
    std::string m_details;
    std::vector<option_info> m_options;
    exit_code (*m_run)(const invocation&);
};

inline constexpr std::size_t any_number_of_arguments = SIZE_MAX;

/// apply, zone, server.
std::vector<command> change_commands();

/// get, diff, validate.
std::vector<command> record_commands();

/// status, where.
std::vector<command> status_commands();

/// trace, audit.
std::vector<command> log_commands();

/// Parses `arguments` (without the program name) and runs the command they name.
exit_code run(const std::vector<std::string>& arguments, const std::vector<command>& commands,
              environment& surroundings);

} // namespace azureladder::cli
