#include "control_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

/// Program `azureladder-fault-proxy`: relays links until SIGINT or SIGTERM.
namespace azureladder::proxy {

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;

options::options_description program_options()
{
    options::options_description description("azureladder-fault-proxy [options]");
    auto add = description.add_options();
    add("help", "print this text");
    add("config", options::value<std::string>(), "settings (JSON with comments)");
    add("link", options::value<std::vector<std::string>>()->default_value({}, ""),
        "[tcp:|udp:|both:]LISTEN=TARGET, may be repeated; named link0, link1, ...");
    add("control", options::value<std::string>(), "address of the control port");
    return description;
}

int fail(const std::string& message)
{
    std::cerr << "azureladder-fault-proxy: " << message << "\n";
    return exit_usage;
}

result<proxy_settings, settings_error> read_settings(const options::variables_map& values)
{
    auto document = json::object();
    if (values.count("config") > 0) {
        std::ifstream input(values["config"].as<std::string>());
        document = json::parse(input, nullptr, true, true);
    }
    if (values.count("control") > 0)
        document["control"] = values["control"].as<std::string>();
    auto settings = parse_settings(document);
    if (!settings)
        return settings;
    std::size_t index = 0;
    for (const auto& text : values["link"].as<std::vector<std::string>>()) {
        const auto link = parse_link(text, "link" + std::to_string(index++));
        if (!link)
            return failure(link.error());
        settings.value().m_links.push_back(link.value());
    }
    return settings;
}

int run(const proxy_settings& settings)
{
    boost::asio::io_context context(1);
    fault_proxy links(context, settings);
    control_server control(context, settings.m_control, links);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    const json listening = {{"event", "listening"},
                            {"control", to_string(control.address())},
                            {"links", links.addresses()}};
    std::cout << listening.dump() << std::endl;
    context.run();
    return 0;
}

int parse_and_run(int count, char** arguments)
{
    const auto description = program_options();
    options::variables_map values;
    options::store(options::parse_command_line(count, arguments, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    const auto settings = read_settings(values);
    return settings ? run(settings.value()) : fail(settings.error());
}

} // namespace

} // namespace azureladder::proxy

int main(int count, char** arguments)
{
    try {
        return azureladder::proxy::parse_and_run(count, arguments);
    } catch (const std::exception& error) {
        return azureladder::proxy::fail(error.what());
    }
}
