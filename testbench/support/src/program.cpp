#include <azureladder/testbench/program.hpp>

#include <azureladder/testbench/termination.hpp>

#include <boost/program_options/parsers.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

namespace azureladder::testbench {

namespace options = boost::program_options;

int run_program(const program& target, int argument_count, const char* const* arguments)
{
    block_termination_signals();
    try {
        options::options_description description(target.m_name);
        description.add_options()("help", "print this text");
        target.m_describe(description);
        options::variables_map values;
        options::store(options::parse_command_line(argument_count, arguments, description), values);
        options::notify(values);
        if (values.count("help") == 0)
            return target.m_run(values);
        std::cout << description;
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << target.m_name << ": " << error.what() << "\n";
        return exit_usage;
    }
}

void print_listening(const endpoint& address)
{
    std::cout << "listening on " << to_string(address) << std::endl;
}

} // namespace azureladder::testbench
