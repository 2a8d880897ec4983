#include "generator.hpp"

#include <azureladder/base/steady_clock.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

/// Program `azureladder-load`: runs one schedule of calls and prints a JSON report.
namespace azureladder::load {

namespace {

namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

options::options_description program_options()
{
    options::options_description description("azureladder-load --config FILE [options]");
    auto add = description.add_options();
    add("help", "print this text");
    add("config", options::value<std::string>()->required(), "settings (JSON with comments)");
    add("target", options::value<std::vector<std::string>>(),
        "address of a node; replaces the targets of the settings, may be repeated");
    add("seed", options::value<std::uint64_t>(), "replaces the seed of the settings");
    add("history", options::value<std::string>()->default_value(""),
        "writes the caller's history as JSON lines");
    add("report", options::value<std::string>()->default_value(""),
        "writes the report to a file instead of the standard output");
    return description;
}

int fail(const std::string& message)
{
    std::cerr << "azureladder-load: " << message << "\n";
    return exit_usage;
}

json read_document(const options::variables_map& values)
{
    std::ifstream input(values["config"].as<std::string>());
    auto document = json::parse(input, nullptr, true, true);
    if (values.count("target") > 0)
        document["targets"] = values["target"].as<std::vector<std::string>>();
    if (values.count("seed") > 0)
        document["seed"] = values["seed"].as<std::uint64_t>();
    return document;
}

bool write_report(const json& report, const std::string& path)
{
    constexpr int indent = 1;
    if (path.empty()) {
        std::cout << report.dump(indent) << "\n";
        return std::cout.good();
    }
    std::ofstream output(path);
    output << report.dump(indent) << "\n";
    return output.good();
}

int run(const load_settings& settings, const options::variables_map& values)
{
    const steady_clock time;
    boost::asio::io_context context(1);
    call_log log(settings, time, values["history"].as<std::string>());
    generator calls(context, settings, time, log);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error)
            calls.stop_issuing();
    });
    calls.start([&] { signals.cancel(); });
    context.run();
    if (!log.is_good())
        return fail("--history: cannot write the file");
    return write_report(calls.report(), values["report"].as<std::string>()) ? 0 : exit_failed;
}

int parse_and_run(int count, char** arguments)
{
    const auto description = program_options();
    options::variables_map values;
    options::store(options::parse_command_line(count, arguments, description), values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    options::notify(values);
    const auto settings = parse_settings(read_document(values));
    if (!settings)
        return fail(to_string(settings.error()));
    if (settings.value().m_targets.empty())
        return fail("targets: expected at least one address");
    return run(settings.value(), values);
}

} // namespace

} // namespace azureladder::load

int main(int count, char** arguments)
{
    try {
        return azureladder::load::parse_and_run(count, arguments);
    } catch (const std::exception& error) {
        return azureladder::load::fail(error.what());
    }
}
