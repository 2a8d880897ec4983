#include "command.hpp"
#include "http_node_client.hpp"

#include <azureladder/base/steady_clock.hpp>

#include <iostream>
#include <iterator>
#include <random>
#include <thread>

namespace {

/// 128 random bits in hexadecimal.
std::string random_id()
{
    static const char digits[] = "0123456789abcdef";
    constexpr int id_digits = 32;
    std::random_device source;
    std::uniform_int_distribution<int> digit(0, 15);
    std::string id;
    for (int i = 0; i < id_digits; ++i)
        id += digits[digit(source)];
    return id;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace azureladder;
    const steady_clock time;
    cli::environment env{std::cout,
                         std::cerr,
                         cli::make_http_node_client,
                         [&] { return time.now(); },
                         [](duration delay) { std::this_thread::sleep_for(delay); },
                         random_id};
    std::vector<cli::command> commands = cli::change_commands();
    for (const auto& more : {cli::record_commands(), cli::status_commands(), cli::log_commands()})
        commands.insert(commands.end(), more.begin(), more.end());
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const cli::exit_code code = cli::run(arguments, commands, env);
    std::cout.flush();
    if (!std::cout) {
        // A script must not take an unwritten result for success.
        std::cerr << "azureladder: the result could not be written\n";
        return static_cast<int>(cli::exit_code::unknown);
    }
    return static_cast<int>(code);
}
