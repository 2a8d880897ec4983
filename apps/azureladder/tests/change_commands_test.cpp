#include "fake_node.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace azureladder::cli {
namespace {

using testing::HasSubstr;
using testing::Not;

const char* const post = "POST /_azureladder/v1/operator/changes";
const char* const query = "GET /_azureladder/v1/operator/changes/id-1";
const char* const configuration = "GET /_azureladder/v1/operator/configuration";
const char* const zone_record =
    "// comment\n{\"kind\":\"zone\",\"schema_version\":1,\"name\":\"z1\",\"state\":\"out\"}";

json spreading(int acknowledged, std::vector<std::string> missing)
{
    return {{"state", "spreading"}, {"revision", 8},      {"acknowledged", acknowledged},
            {"total", 9},           {"missing", missing}, {"message", ""}};
}

const json accepted = {{"state", "accepted"}, {"revision", 8}, {"acknowledged", 9}, {"total", 9}};

// Guards against polling that stops before the change is accepted, and against a request that
// differs from the file.
TEST(apply, waits_until_the_change_is_accepted)
{
    cli_harness cli;
    const temporary_file file(zone_record);
    cli.m_node.on(post, 202, {{"apply_id", "id-1"}});
    cli.m_node.on(query, 200, {{"state", "writing"}});
    cli.m_node.on(query, 200, spreading(7, {"n3", "n4"}));
    cli.m_node.on(query, 200, spreading(7, {"n3", "n4"}));
    cli.m_node.on(query, 200, spreading(8, {"n3"}));
    cli.m_node.on(query, 200, accepted);
    EXPECT_EQ(cli({"--node", "10.0.0.1:80", "apply", file.path(), "--base-revision", "7"}),
              exit_code::ok);
    EXPECT_EQ(cli.out(), "accepted: revision 8\n");
    EXPECT_EQ(cli.error(), "apply id id-1\nwriting\n"
                           "spreading: 7 of 9 nodes acknowledged; waiting for n3, n4\n"
                           "spreading: 8 of 9 nodes acknowledged; waiting for n3\n");
    const json body = json::parse(cli.m_node.m_calls[0].second);
    EXPECT_EQ(body["apply_id"], "id-1");
    EXPECT_EQ(body["base_revision"], 7);
    EXPECT_EQ(body["records"][0]["name"], "z1");
    EXPECT_EQ(cli.m_node.m_connected[0], "10.0.0.1:80 5000");
}

// Guards against a rejection that scripts cannot tell from other outcomes.
TEST(apply, reports_rejections)
{
    const temporary_file file(zone_record);
    for (const int status : {400, 409, 503}) {
        cli_harness cli;
        cli.m_node.on(post, status,
                      {{"error", "conflict"}, {"message", "revision is 9"}, {"executed", "no"}});
        EXPECT_EQ(cli({"apply", file.path(), "--json"}), exit_code::rejected);
        EXPECT_EQ(json::parse(cli.out())["state"], "rejected");
        EXPECT_EQ(json::parse(cli.out())["message"], "conflict: revision is 9");
    }
    cli_harness cli;
    cli.m_node.on(post, 202, {});
    cli.m_node.on(query, 200, {{"state", "rejected"}, {"message", "slices cannot change"}});
    EXPECT_EQ(cli({"apply", file.path()}), exit_code::rejected);
    EXPECT_EQ(cli.out(), "rejected: slices cannot change\n");
}

// Guards against a second change when the response to the first was lost.
TEST(apply, queries_the_outcome_when_the_response_is_lost)
{
    const temporary_file file(zone_record);
    for (const bool has_response : {false, true}) {
        cli_harness cli;
        if (has_response)
            cli.m_node.on(post, 500, "proxy");
        else
            cli.m_node.lose_response(post);
        cli.m_node.lose_response(query);
        cli.m_node.on(query, 200, accepted);
        EXPECT_EQ(cli({"apply", file.path()}), exit_code::ok);
        EXPECT_EQ(cli.m_node.calls_of(post), 1u);
        EXPECT_THAT(cli.error(), HasSubstr("querying the outcome"));
    }
}

// Guards against "rejected" or "accepted" for an unknown outcome, and against output without the
// command that queries the outcome.
TEST(apply, unknown_outcome_shows_the_query_command)
{
    const temporary_file file(zone_record);
    cli_harness cli;
    cli.m_node.lose_response(post);
    cli.m_node.on(query, 404, {{"error", "not_found"}});
    cli.m_node.on(configuration, 200, {{"revision", 7}, {"records", json::array()}});
    EXPECT_EQ(cli({"apply", file.path(), "--wait-ms", "1000"}), exit_code::unknown);
    EXPECT_EQ(cli.m_time, time_point{} + milliseconds(1000));
    EXPECT_EQ(cli.m_node.calls_of(post), 1u);
    EXPECT_THAT(cli.out(),
                HasSubstr("To query the outcome: azureladder --node 127.0.0.1:8080 status "
                          "--apply-id id-1\n"));
    // The node does not track the change but has it in its configuration: it is unknown whether
    // the change is in effect on every node.
    cli.m_node.m_responses[configuration].clear();
    cli.m_node.on(configuration, 200,
                  {{"revision", 8}, {"records", json::array()}, {"apply_ids", {"id-1"}}});
    EXPECT_EQ(cli({"apply", file.path(), "--wait-ms", "0", "--json"}), exit_code::unknown);
    EXPECT_EQ(json::parse(cli.out())["state"], "unknown");
    EXPECT_EQ(json::parse(cli.out())["revision"], 8);
    EXPECT_EQ(json::parse(cli.out())["find_out"],
              "azureladder --node 127.0.0.1:8080 status --apply-id id-1");
    EXPECT_EQ(cli({"status", "--apply-id", "id-1"}), exit_code::unknown);
    EXPECT_THAT(cli.out(), HasSubstr("written: revision 8"));
    EXPECT_EQ(cli({"status", "--apply-id", "id-2"}), exit_code::unreachable);
}

// Guards against reporting a change that was not sent as unknown.
TEST(apply, nothing_sent_is_not_unknown)
{
    const temporary_file file(zone_record);
    cli_harness cli;
    EXPECT_EQ(cli({"apply", file.path()}), exit_code::unreachable);
    EXPECT_EQ(cli.m_node.m_calls.size(), 1u);
    EXPECT_THAT(cli.out(), HasSubstr("connection refused"));
}

// Guards against sending an invalid file.
TEST(apply, invalid_files_are_not_sent)
{
    cli_harness cli;
    const char* const repeated_field =
        R"({"kind":"zone","kind":"zone","schema_version":1,"name":"z","state":"in"})";
    for (const char* text : {"", "[]", "7", "{", R"({"kind":"zone"})", repeated_field}) {
        const temporary_file file(text);
        for (const char* command : {"apply", "diff", "validate"}) {
            EXPECT_EQ(cli({command, file.path()}), exit_code::invalid_input) << text;
            EXPECT_THAT(cli.error(), HasSubstr(file.path() + ": "));
        }
    }
    EXPECT_EQ(cli({"apply", "/nonexistent.json"}), exit_code::invalid_input);
    EXPECT_EQ(cli({"validate", "/"}), exit_code::invalid_input);
    EXPECT_TRUE(cli.m_node.m_calls.empty());
}

// Guards against a record of the wrong kind, state or name, and against a misspelt name that is
// sent without a warning.
TEST(zone_and_server, apply_a_record)
{
    cli_harness cli;
    cli.m_node.on("GET /_azureladder/v1/status", 200,
                  {{"plans", {{{"node", "n1"}, {"zone", "z1"}, {"server", "s1"}}}}});
    cli.m_node.on(post, 202, {});
    cli.m_node.on(query, 200, accepted);
    EXPECT_EQ(cli({"zone", "out", "z1", "--reason", "power work"}), exit_code::ok);
    EXPECT_THAT(cli.error(), Not(HasSubstr("warning")));
    const json expected = {{"kind", "zone"},
                           {"schema_version", 2},
                           {"name", "z1"},
                           {"state", "out"},
                           {"reason", "power work"}};
    EXPECT_EQ(json::parse(cli.m_node.m_calls[1].second)["records"], json::array({expected}));
    EXPECT_EQ(cli({"server", "in", "s2"}), exit_code::ok);
    EXPECT_THAT(cli.error(), HasSubstr("warning: no node of server s2 is reported"));
    EXPECT_THAT(cli.m_node.m_calls[4].second, HasSubstr("\"kind\":\"server\""));
    const std::size_t calls = cli.m_node.m_calls.size();
    for (const auto& arguments :
         std::vector<std::vector<std::string>>{{"zone", "off", "z1"},
                                               {"zone", "out"},
                                               {"server", "out", "S1"},
                                               {"zone", "out", "_z"},
                                               {"server", "in", "a", "b"},
                                               {"zone", "out", "z1", "--reason", "a\nb"}})
        EXPECT_EQ(cli(arguments), exit_code::invalid_input) << arguments[1];
    EXPECT_EQ(cli.m_node.m_calls.size(), calls);
}

} // namespace
} // namespace azureladder::cli
