#include <azureladder/base/steady_clock.hpp>
#include <azureladder/node/runtime.hpp>
#include <azureladder/platform/http_store.hpp>
#include <azureladder/settings/load_settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <string>
#include <thread>

namespace {

namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

struct arguments
{
    std::string m_settings_file;
    bool m_check_settings = false;
};

/// Parses the command line. Returns the exit code when the process should exit, or -1 to start.
int parse_arguments(int argc, char** argv, arguments& output)
{
    options::options_description description("azureladderd, the router process of one node\n"
                                             "usage: azureladderd --settings FILE");
    description.add_options()("help", "show this help and exit")(
        "settings", options::value(&output.m_settings_file), "settings file (JSON with comments)")(
        "check-settings", options::bool_switch(&output.m_check_settings),
        "check the settings file and exit: 0 when it is valid, 2 otherwise");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "azureladderd: " << error.what() << "\n" << description;
        return exit_usage;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    if (output.m_settings_file.empty()) {
        std::cerr << "azureladderd: --settings is required\n" << description;
        return exit_usage;
    }
    return -1;
}

azureladder::platform::http_store_options
make_store_options(const azureladder::settings::node_settings& settings)
{
    const auto timeout =
        std::chrono::duration_cast<azureladder::milliseconds>(settings.m_store.m_timeout);
    azureladder::platform::http_store_options output;
    output.m_server = settings.m_store.m_address;
    output.m_read_timeout = timeout;
    output.m_write_timeout = timeout;
    return output;
}

int run_node(const azureladder::settings::node_settings& settings)
{
    const azureladder::steady_clock clock;
    azureladder::platform::http_store store(make_store_options(settings));
    azureladder::node::runtime node(settings, clock, store);
    if (const auto started = node.start(); !started) {
        std::cerr << "azureladderd: " << started.error().m_message << "\n";
        return exit_failed;
    }
    std::cout << "listening on " << to_string(node.http_address()) << std::endl;

    boost::asio::io_context signals_io;
    boost::asio::signal_set signals(signals_io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error)
            node.request_stop();
    });
    std::thread signal_thread([&] { signals_io.run(); });
    const int code = node.run();
    signals_io.stop();
    signal_thread.join();
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    arguments input;
    const int code = parse_arguments(argc, argv, input);
    if (code >= 0)
        return code;
    const auto loaded = azureladder::settings::load_settings(input.m_settings_file);
    if (!loaded) {
        std::cerr << to_string(loaded.error());
        return exit_usage;
    }
    if (input.m_check_settings) {
        std::cout << input.m_settings_file << ": valid\n";
        return 0;
    }
    return run_node(loaded.value());
}
