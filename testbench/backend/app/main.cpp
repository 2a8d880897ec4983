#include <azureladder/backend_double/announcer.hpp>
#include <azureladder/backend_double/backend_service.hpp>
#include <azureladder/base/steady_clock.hpp>
#include <azureladder/http/server.hpp>
#include <azureladder/testbench/program.hpp>
#include <azureladder/testbench/termination.hpp>

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;
using azureladder::milliseconds;

constexpr const char* program_name = "azureladder-backend-double";

// Threads for control calls and shed requests while all slots are in use.
constexpr unsigned control_threads = 64;

void describe(options::options_description& description)
{
    const auto text = [](const char* value) {
        return options::value<std::string>()->default_value(value);
    };
    const auto number = [](std::uint64_t value) {
        return options::value<std::uint64_t>()->default_value(value);
    };
    auto add = description.add_options();
    add("listen", text("127.0.0.1:0"), "IP:PORT; port 0 selects a free one");
    add("server", text("backend-1"), "name of this backend server");
    add("service", text("catalogue"), "service of this backend server");
    add("zone", text("zone-1"), "availability zone");
    add("slots", number(9), "requests executed at the same time");
    add("connections", number(120), "announced number of connections");
    add("announce", text(""), "IP:PORT of the sidecar process; empty: no announcements");
    add("fencing", text("ignored"), "checked or ignored");
    add("service-time-ms", number(5), "mean service time");
    add("service-jitter", options::value<double>()->default_value(0.0),
        "largest relative deviation of a service time, 0 to 1");
    add("cold-ms", number(0), "duration of the cold start");
    add("cold-slots", number(1),
        "concurrent requests that are executed at normal speed while cold");
    add("execution-log", text(""), "file for JSON lines");
    add("report-lag-ms", number(0), "delay of reported load and cold start");
    add("report-load", options::value<double>(), "false load to report");
    add("seed", number(1), "seed of random service times");
}

azureladder::backend_double::backend_options read_options(const options::variables_map& values)
{
    const auto count = [&values](const char* name) { return values[name].as<std::uint64_t>(); };
    azureladder::backend_double::backend_options result;
    result.m_server = values["server"].as<std::string>();
    result.m_service = values["service"].as<std::string>();
    result.m_zone = values["zone"].as<std::string>();
    result.m_slots = unsigned(count("slots"));
    result.m_connections = unsigned(count("connections"));
    result.m_checks_fencing = values["fencing"].as<std::string>() == "checked";
    result.m_service_time = milliseconds(count("service-time-ms"));
    result.m_service_jitter = values["service-jitter"].as<double>();
    result.m_cold = milliseconds(count("cold-ms"));
    result.m_cold_slots = unsigned(count("cold-slots"));
    result.m_report_lag = milliseconds(count("report-lag-ms"));
    if (values.count("report-load") > 0)
        result.m_report_load = values["report-load"].as<double>();
    result.m_seed = count("seed");
    return result;
}

/// Throws `std::invalid_argument` for an option value of the right type but out of range.
void check(const options::variables_map& values)
{
    const auto& fencing = values["fencing"].as<std::string>();
    const auto& announce = values["announce"].as<std::string>();
    const auto jitter = values["service-jitter"].as<double>();
    if (fencing != "checked" && fencing != "ignored")
        throw std::invalid_argument("--fencing must be checked or ignored");
    if (!azureladder::parse_endpoint(values["listen"].as<std::string>()))
        throw std::invalid_argument("--listen must be IP:PORT");
    if (!announce.empty() && !azureladder::parse_endpoint(announce))
        throw std::invalid_argument("--announce must be IP:PORT");
    if (!(jitter >= 0 && jitter <= 1))
        throw std::invalid_argument("--service-jitter must be between 0 and 1");
}

int run(const options::variables_map& values)
{
    using namespace azureladder;
    check(values);
    const auto double_options = read_options(values);
    testbench::json_lines file(values["execution-log"].as<std::string>());
    if (!file.is_open())
        throw std::invalid_argument("--execution-log: cannot open the file for writing");
    const steady_clock clock;
    backend_double::execution_log log(file);
    backend_double::backend_service service(clock, double_options, log);
    http::server_options server_options;
    server_options.m_listen_address = *parse_endpoint(values["listen"].as<std::string>());
    server_options.m_max_threads = double_options.m_slots + control_threads;
    http::server server(server_options,
                        [&service](const auto& message) { return service.handle(message); });
    if (!server.start()) {
        std::cerr << program_name << ": cannot listen on the address of --listen\n";
        return EXIT_FAILURE;
    }
    std::unique_ptr<backend_double::announcer> announcer;
    if (const auto sidecar = parse_endpoint(values["announce"].as<std::string>())) {
        announcer = std::make_unique<backend_double::announcer>(
            clock, double_options, service.capacity(), *sidecar, server.bound_address());
        announcer->start();
    }
    testbench::print_listening(server.bound_address());
    testbench::wait_for_termination();
    service.capacity().drain();
    if (announcer)
        announcer->announce();
    // Answer lease renewals until the executions have finished; a lease that expires aborts them.
    service.capacity().wait_until_idle();
    server.stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argument_count, char** arguments)
{
    return azureladder::testbench::run_program({program_name, describe, run}, argument_count,
                                               arguments);
}
