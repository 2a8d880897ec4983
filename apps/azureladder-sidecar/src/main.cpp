#include <azureladder/base/steady_clock.hpp>
#include <azureladder/platform_adapter/platform_codec.hpp>
#include <azureladder/sidecar_runtime/node_runtime.hpp>

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace po = boost::program_options;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

void print_errors(const std::vector<azureladder::field_error>& errors)
{
    for (const auto& error : errors)
        std::cerr << (error.m_path.empty() ? "settings" : error.m_path) << ": " << error.m_message
                  << '\n';
}

int run(int argc, char** argv)
{
    std::string path;
    po::options_description options(
        "azureladder-sidecar, routes requests for the backend server on the same VM");
    options.add_options()("help", "print this help")("settings", po::value(&path)->required(),
                                                     "settings file, JSON with comments")(
        "check-settings", "validate the settings file and exit");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
        std::cout << options << '\n';
        return exit_ok;
    }
    po::notify(values);

    std::vector<azureladder::field_error> errors;
    const auto settings = azureladder::sidecar_runtime::load_settings(path, errors);
    if (!errors.empty()) {
        print_errors(errors);
        return exit_usage;
    }
    if (values.count("check-settings") != 0)
        return exit_ok;
    const azureladder::platform_adapter::platform_codec codec;
    const azureladder::steady_clock time;
    azureladder::sidecar_runtime::node_runtime node(settings, path, codec, time);
    node.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const po::error& error) {
        std::cerr << "azureladder-sidecar: " << error.what() << '\n';
        return exit_usage;
    } catch (const std::exception& error) {
        std::cerr << "azureladder-sidecar: " << error.what() << '\n';
        return exit_failed;
    }
}
