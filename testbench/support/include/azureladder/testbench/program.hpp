#pragma once

#include <azureladder/base/endpoint.hpp>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <functional>
#include <string>

namespace azureladder::testbench {

/// Exit code for invalid options.
inline constexpr int exit_usage = 2;

/// A program of the test bench that runs until SIGTERM or SIGINT.
struct program
{
    /// Name in the help text and in front of error messages.
    std::string m_name;

    /// Adds the options besides `--help`.
    std::function<void(boost::program_options::options_description&)> m_describe;

    /// Runs with the parsed options and returns the exit code.
    std::function<int(const boost::program_options::variables_map&)> m_run;
};

/// Body of `main`: blocks the termination signals, parses the options and runs the program or
/// prints its help text. An exception is printed and ends the program with `exit_usage`.
int run_program(const program& target, int argument_count, const char* const* arguments);

/// Prints the line by which the parent process detects that the server accepts connections.
void print_listening(const endpoint& address);

} // namespace azureladder::testbench
