#include "fake_node.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace azureladder::cli {
namespace {

using testing::HasSubstr;

using arguments = std::vector<std::string>;

// Guards against invalid arguments that are ignored, completed or sent.
TEST(arguments, invalid_arguments_are_usage_errors)
{
    const std::vector<arguments> wrong = {
        {},
        {"--json"},
        {"unknown"},
        {"status", "extra"},
        {"status", "--apply"},
        {"status", "--apply-id"},
        {"status", "--apply-id", "a", "--apply-id", "b"},
        {"status", "--base-revision", "1"},
        {"status", "--node", "localhost:80"},
        {"status", "--node", "127.0.0.1:0"},
        {"status", "--node"},
        {"status", "--node", "127.0.0.1:1", "--node", "127.0.0.1:2"},
        {"status", "--timeout-ms", "0"},
        {"status", "--timeout-ms", "600001"},
        {"status", "--timeout-ms", "-1"},
        {"status", "--timeout-ms", "1x"},
        {"status", "--js"},
        {"status", "-j"},
        {"apply"},
        {"apply", "a", "b"},
        {"get", "router"},
        {"get", "router/a"},
        {"get", "zone", "a"},
        {"get", "--wait-ms", "1"},
        {"where", "service"},
        {"where", "service", "-key"},
        {"validate"},
        {"diff"},
        {"validate", "f", "--wait-ms", "1"},
        {"zone", "out", "z", "--base-revision", "0"},
        {"zone", "out", "z", "--base-revision", "-1"},
        {"zone", "out", "z", "--wait-ms", "3600001"},
        {"zone", "out", "z", "--wait-ms", ""},
        {"server", "out", "z", "--base-revision", "99999999999999999999"},
    };
    for (const auto& item : wrong) {
        cli_harness cli;
        EXPECT_EQ(cli(item), exit_code::invalid_input) << testing::PrintToString(item);
        EXPECT_THAT(cli.error(), HasSubstr("azureladder: ")) << testing::PrintToString(item);
        EXPECT_EQ(cli.m_node.calls_of("POST /_azureladder/v1/operator/changes"), 0u);
        EXPECT_EQ(cli.out(), "");
    }
}

// Guards against global options that work in one position only.
TEST(arguments, global_options_work_everywhere)
{
    for (const auto& item :
         std::vector<arguments>{{"--node", "[::1]:7", "--json", "--timeout-ms", "9", "status"},
                                {"status", "--node", "[::1]:7", "--json", "--timeout-ms", "9"},
                                {"--timeout-ms=9", "status", "--node=[::1]:7", "--json"}}) {
        cli_harness cli;
        cli.m_node.on("GET /_azureladder/v1/status", 200, {{"node", "n1"}});
        EXPECT_EQ(cli(item), exit_code::ok);
        EXPECT_EQ(cli.m_node.m_connected, arguments{"[::1]:7 9"});
        EXPECT_EQ(cli.out(), "{\"node\":\"n1\"}\n");
    }
}

// Guards against options that are ignored or interpreted differently in combination with others.
TEST(arguments, every_combination_of_options)
{
    const std::vector<arguments> options = {{"--json"},         {"--node", "10.0.0.1:7"},
                                            {"--timeout-ms=9"}, {"--base-revision", "5"},
                                            {"--wait-ms", "0"}, {"--reason", "a b"}};
    for (unsigned chosen = 0; chosen < 1U << options.size(); ++chosen) {
        arguments all = {"zone", "out", "z1"};
        for (std::size_t i = 0; i < options.size(); ++i) {
            if ((chosen & (1U << i)) != 0)
                all.insert(i % 2 == 0 ? all.end() : all.begin() + 1, options[i].begin(),
                           options[i].end());
        }
        cli_harness cli;
        cli.m_node.on("POST /_azureladder/v1/operator/changes", 202, json::object());
        cli.m_node.on("GET /_azureladder/v1/operator/changes/id-1", 200, {{"state", "writing"}});
        EXPECT_EQ(cli(all), exit_code::unknown);
        const json body = json::parse(cli.m_node.m_calls[1].second);
        EXPECT_EQ(json::accept(cli.out()), (chosen & 1) != 0);
        EXPECT_EQ(cli.m_node.m_connected[0],
                  std::string(chosen & 2 ? "10.0.0.1:7" : "127.0.0.1:8080") +
                      (chosen & 4 ? " 9" : " 5000"));
        EXPECT_EQ(body["base_revision"], chosen & 8 ? 5 : 0);
        EXPECT_EQ(cli.m_time, time_point{} + (chosen & 16 ? seconds(0) : seconds(15)));
        EXPECT_EQ(body["records"][0].value("reason", ""), chosen & 32 ? "a b" : "");
    }
}

// Guards against a command or an option without help.
TEST(arguments, help_covers_commands_and_options)
{
    cli_harness cli;
    EXPECT_EQ(cli({"--help"}), exit_code::ok);
    const std::string general = cli.out();
    auto commands = change_commands();
    for (const auto& more : {record_commands(), status_commands()})
        commands.insert(commands.end(), more.begin(), more.end());
    for (const auto& command : commands) {
        EXPECT_THAT(general, HasSubstr(command.m_name + " " + command.m_arguments));
        for (const auto& item :
             {arguments{command.m_name, "--help"}, arguments{"-h", command.m_name}}) {
            EXPECT_EQ(cli(item), exit_code::ok);
            EXPECT_THAT(cli.out(), HasSubstr("Exit codes: 0"));
            EXPECT_THAT(cli.out(), HasSubstr("Example: azureladder "));
            EXPECT_THAT(cli.out(), HasSubstr("--timeout-ms"));
            for (const auto& option : command.m_options)
                EXPECT_THAT(cli.out(), HasSubstr("--" + std::string(option.m_name)));
        }
    }
    EXPECT_TRUE(cli.m_node.m_calls.empty());
}

} // namespace
} // namespace azureladder::cli
