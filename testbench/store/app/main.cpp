#include <azureladder/base/steady_clock.hpp>
#include <azureladder/http/server.hpp>
#include <azureladder/store_double/store_service.hpp>
#include <azureladder/testbench/termination.hpp>

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;

// Each waiting watch holds a thread.
constexpr unsigned max_threads = 1'024;

options::variables_map parse(int argument_count, const char* const* arguments)
{
    options::options_description description("azureladder-store-double");
    description.add_options()("help", "print this text");
    description.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"),
                              "IP:PORT; port 0 selects a free one");
    description.add_options()("seed", options::value<std::uint64_t>()->default_value(1),
                              "seed of random delays");
    description.add_options()("log", options::value<std::string>()->default_value(""),
                              "file for one JSON line per call");
    options::variables_map values;
    options::store(options::parse_command_line(argument_count, arguments, description), values);
    options::notify(values);
    if (values.count("help") > 0)
        std::cout << description;
    return values;
}

int run(const options::variables_map& values)
{
    const auto address = azureladder::parse_endpoint(values["listen"].as<std::string>());
    azureladder::testbench::json_lines log(values["log"].as<std::string>());
    if (!address || !log.is_open()) {
        std::cerr << "azureladder-store-double: --listen must be IP:PORT and --log writable\n";
        return exit_usage;
    }
    const azureladder::steady_clock clock;
    azureladder::store_double::store_service service(clock, values["seed"].as<std::uint64_t>(),
                                                     log);
    azureladder::http::server_options server_options;
    server_options.m_endpoint = *address;
    server_options.m_max_threads = max_threads;
    azureladder::http::server server(
        server_options, [&service](const auto& message) { return service.handle(message); });
    if (!server.start()) {
        std::cerr << "azureladder-store-double: cannot listen on " << to_string(*address) << "\n";
        return EXIT_FAILURE;
    }
    std::cout << "listening on " << to_string(server.bound_address()) << std::endl;
    azureladder::testbench::wait_for_termination();
    service.shut();
    server.stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argument_count, char** arguments)
{
    azureladder::testbench::block_termination_signals();
    try {
        const auto values = parse(argument_count, arguments);
        return values.count("help") > 0 ? EXIT_SUCCESS : run(values);
    } catch (const std::exception& error) {
        std::cerr << "azureladder-store-double: " << error.what() << "\n";
        return exit_usage;
    }
}
