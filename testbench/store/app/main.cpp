#include <azureladder/base/steady_clock.hpp>
#include <azureladder/http/server.hpp>
#include <azureladder/store_double/store_service.hpp>
#include <azureladder/testbench/program.hpp>
#include <azureladder/testbench/termination.hpp>

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;

// A pending watch occupies a thread.
constexpr unsigned max_threads = 1'024;

constexpr const char* program_name = "azureladder-store-double";

void describe(options::options_description& description)
{
    description.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"),
                              "IP:PORT; port 0 selects a free one");
    description.add_options()("seed", options::value<std::uint64_t>()->default_value(1),
                              "seed of random delays");
    description.add_options()("log", options::value<std::string>()->default_value(""),
                              "file for one JSON line per call");
}

int run(const options::variables_map& values)
{
    const auto address = azureladder::parse_endpoint(values["listen"].as<std::string>());
    azureladder::testbench::json_lines log(values["log"].as<std::string>());
    if (!address || !log.is_open()) {
        std::cerr << program_name << ": --listen must be IP:PORT and --log writable\n";
        return azureladder::testbench::exit_usage;
    }
    const azureladder::steady_clock clock;
    azureladder::store_double::store_service service(clock, values["seed"].as<std::uint64_t>(),
                                                     log);
    azureladder::http::server_options server_options;
    server_options.m_listen_address = *address;
    server_options.m_max_threads = max_threads;
    azureladder::http::server server(
        server_options, [&service](const auto& message) { return service.handle(message); });
    if (!server.start()) {
        std::cerr << program_name << ": cannot listen on " << to_string(*address) << "\n";
        return EXIT_FAILURE;
    }
    azureladder::testbench::print_listening(server.bound_address());
    azureladder::testbench::wait_for_termination();
    service.cancel_waits();
    server.stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argument_count, char** arguments)
{
    return azureladder::testbench::run_program({program_name, describe, run}, argument_count,
                                               arguments);
}
