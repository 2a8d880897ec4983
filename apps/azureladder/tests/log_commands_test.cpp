#include "fake_node.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace azureladder::cli {
namespace {

using testing::HasSubstr;

std::string executed_by(const std::string& server, int time_us)
{
    return R"({"event":"execution_started","time_us":)" + std::to_string(time_us) +
           R"(,"server":")" + server +
           R"(","service":"bookings","request_id":"r1","method":"POST"})" + "\n";
}

// Guards against an audit that succeeds despite violations or without events.
TEST(audit, exit_code_matches_the_result)
{
    cli_harness cli;
    const temporary_file once(executed_by("s1", 10));
    const temporary_file again(executed_by("s2", 20));
    const temporary_file empty("");
    const temporary_file damaged(executed_by("s1", 10) + "{\"event\":7}\n");
    const temporary_file cut(executed_by("s1", 10) + "{\"event\":\"exec");
    EXPECT_EQ(cli({"audit", once.path()}, log_commands()), exit_code::ok);
    EXPECT_EQ(cli({"audit", cut.path()}, log_commands()), exit_code::ok);
    EXPECT_EQ(cli({"audit", once.path(), again.path()}, log_commands()), exit_code::check_failed);
    EXPECT_THAT(cli.out(), HasSubstr("at_most_once"));
    EXPECT_THAT(cli.out(), HasSubstr(again.path() + ":1"));
    EXPECT_EQ(cli({"audit", "--json", once.path(), again.path()}, log_commands()),
              exit_code::check_failed);
    EXPECT_EQ(json::parse(cli.out())["violations"].size(), 1u);
    EXPECT_EQ(cli({"audit", damaged.path()}, log_commands()), exit_code::check_failed);
    EXPECT_EQ(cli({"audit", empty.path()}, log_commands()), exit_code::invalid_input);
    EXPECT_EQ(cli({"audit", "/nonexistent"}, log_commands()), exit_code::invalid_input);
    EXPECT_EQ(cli({"audit"}, log_commands()), exit_code::invalid_input);
}

// Guards against a trace that omits logs of some nodes or accepts a request id without lines.
TEST(trace, shows_the_steps_of_one_request)
{
    cli_harness cli;
    const temporary_file first(executed_by("s1", 10));
    const temporary_file second(executed_by("s2", 25));
    EXPECT_EQ(cli({"trace", "r1", second.path(), first.path()}, log_commands()), exit_code::ok);
    EXPECT_LT(cli.out().find("s1"), cli.out().find("s2"));
    EXPECT_EQ(cli({"trace", "--json", "r1", first.path()}, log_commands()), exit_code::ok);
    EXPECT_TRUE(json::parse(cli.out()).is_object());
    EXPECT_EQ(cli({"trace", "r2", first.path()}, log_commands()), exit_code::check_failed);
    EXPECT_EQ(cli({"trace", "r1", "/nonexistent"}, log_commands()), exit_code::invalid_input);
    EXPECT_EQ(cli({"trace", "r1"}, log_commands()), exit_code::invalid_input);
    EXPECT_TRUE(cli.m_node.m_connected.empty());
}

} // namespace
} // namespace azureladder::cli
