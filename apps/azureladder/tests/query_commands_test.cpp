#include "fake_node.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace azureladder::cli {
namespace {

using testing::HasSubstr;

const char* const configuration = "GET /_azureladder/v1/operator/configuration";
const char* const status = "GET /_azureladder/v1/status";

const json service = {
    {"kind", "service"}, {"schema_version", 1}, {"name", "catalogue"}, {"default_timeout_ms", 8}};
const json zone = {{"kind", "zone"}, {"schema_version", 1}, {"name", "z1"}, {"state", "out"}};

void respond_with_configuration(cli_harness& cli)
{
    cli.m_node.on(configuration, 200, {{"revision", 7}, {"records", {service, zone}}});
}

// Guards against output of get that apply rejects or that contains other records.
TEST(get, shows_the_selected_records)
{
    cli_harness cli;
    respond_with_configuration(cli);
    EXPECT_EQ(cli({"get"}), exit_code::ok);
    EXPECT_THAT(cli.out(), HasSubstr("// revision 7\n"));
    const temporary_file copy(cli.out());
    EXPECT_EQ(cli({"validate", copy.path()}), exit_code::ok);
    EXPECT_EQ(cli({"get", "zone", "--json"}), exit_code::ok);
    EXPECT_EQ(json::parse(cli.out()), json({{"revision", 7}, {"records", {zone}}}));
    EXPECT_EQ(cli({"get", "service/catalogue", "--json"}), exit_code::ok);
    EXPECT_EQ(json::parse(cli.out())["records"], json::array({service}));
    EXPECT_EQ(cli({"get", "server"}), exit_code::ok);
    EXPECT_EQ(cli({"get", "service/none"}), exit_code::check_failed);
}

// Guards against a diff that omits a difference or a rejection.
TEST(diff, shows_changes_and_rejections)
{
    cli_harness cli;
    respond_with_configuration(cli);
    json changed = service;
    changed["default_timeout_ms"] = 9;
    const temporary_file file(json::array({changed, zone}).dump());
    EXPECT_EQ(cli({"diff", file.path()}), exit_code::ok);
    EXPECT_EQ(cli.out(), "service/catalogue execution.default_timeout_ms: 8 -> 9\n");
    EXPECT_EQ(cli({"diff", file.path(), "--json"}), exit_code::ok);
    EXPECT_EQ(json::parse(cli.out())["differences"].size(), 1u);
    const temporary_file same(zone.dump());
    EXPECT_EQ(cli({"diff", same.path()}), exit_code::ok);
    EXPECT_EQ(cli.out(), "no difference to revision 7\n");
    changed.update({{"divided_by_key", true}, {"max_execution_ms", 5}});
    const temporary_file rejected(changed.dump());
    EXPECT_EQ(cli({"diff", rejected.path()}), exit_code::rejected);
    EXPECT_THAT(cli.error(), HasSubstr("records[0].divided_by_key"));
    EXPECT_EQ(cli.m_node.calls_of("POST /_azureladder/v1/operator/changes"), 0u);
}

TEST(validate, needs_no_node)
{
    cli_harness cli;
    const temporary_file file(zone.dump());
    EXPECT_EQ(cli({"validate", file.path()}), exit_code::ok);
    EXPECT_EQ(cli.out(), file.path() + ": 1 valid records\n");
    EXPECT_EQ(cli({"validate", file.path(), "--json"}), exit_code::ok);
    EXPECT_EQ(json::parse(cli.out())["records"], 1);
    EXPECT_TRUE(cli.m_node.m_connected.empty());
}

TEST(status, shows_the_node_and_its_view)
{
    cli_harness cli;
    cli.m_node.on(
        status, 200,
        {{"node", "n1"},
         {"zone", "z1"},
         {"revision", 7},
         {"serving", true},
         {"plans",
          {{{"node", "n1"},
            {"zone", "z1"},
            {"server", "s1"},
            {"service", "catalogue"},
            {"version", 3},
            {"slices", {1, 2}}},
           {{"node", "n2"}, {"zone", "z2"}, {"server", ""}}}},
         {"slices", {{"reporting", {{"0", {{"owner", "n2"}}}, {"1", {{"owner", "n1"}}}}}}},
         {"zones", {{"z2", "out"}}}});
    EXPECT_EQ(cli({"status"}), exit_code::ok);
    EXPECT_EQ(cli.out(), "node n1 in zone z1, revision 7, serving\nzones:\n  z2  out\n"
                         "slices:\n  SPACE      SLICES  OWNERS\n"
                         "  reporting  2       n1 1, n2 1\nnodes:\n"
                         "  NODE  ZONE  SERVER  SERVICE    VERSION  SLICES\n"
                         "  n1    z1    s1      catalogue  3        2\n"
                         "  n2    z2    -       -          -        -\n");
}

TEST(where, encodes_service_and_key)
{
    cli_harness cli;
    cli.m_node.on("GET /_azureladder/v1/operator/where?service=a%26b&key=-k%2F%C3%A9%20", 200,
                  {{"space", "a"},
                   {"slice", 5},
                   {"epoch", 2},
                   {"owner", "n1"},
                   {"server", "s1"},
                   {"zone", "z1"}});
    EXPECT_EQ(cli({"where", "--", "a&b", "-k/é "}), exit_code::ok);
    EXPECT_EQ(cli.out(), "slice 5 of a, epoch 2\nowner n1, server s1, zone z1\n");
    EXPECT_EQ(cli({"where", "--json", "--", "a&b", "-k/é "}), exit_code::ok);
    EXPECT_EQ(json::parse(cli.out())["slice"], 5);
    cli.m_node.on("GET /_azureladder/v1/operator/where?service=s&key=k", 404,
                  {{"error", "unknown_service"}});
    EXPECT_EQ(cli({"where", "s", "k"}), exit_code::check_failed);
    EXPECT_THAT(cli.error(), HasSubstr("unknown_service"));
}

// Guards against invalid responses that are shown as results or end the process.
TEST(queries, invalid_responses_are_unreachable)
{
    for (const auto& call_result : std::vector<fake_node::call_result>{
             client_error{false, "lost"}, node_response{500, "<html>"}, node_response{200, "[]"},
             node_response{200, "{"}, node_response{503, "{\"error\":7}"},
             node_response{302, ""}}) {
        cli_harness cli;
        const char* const place = "GET /_azureladder/v1/operator/where?service=s&key=k";
        for (const char* call :
             {configuration, status, place, "GET /_azureladder/v1/operator/changes/id-1"})
            cli.m_node.m_responses[call] = {call_result};
        for (const auto& arguments : std::vector<std::vector<std::string>>{
                 {"get"}, {"status"}, {"where", "s", "k"}, {"status", "--apply-id", "id-1"}}) {
            EXPECT_EQ(cli(arguments), exit_code::unreachable) << arguments[0];
            EXPECT_THAT(cli.error(), HasSubstr("node 127.0.0.1:8080: "));
        }
    }
}

// Guards against exit codes that do not match the outcome of a change.
TEST(status, exit_code_matches_the_outcome)
{
    const std::pair<const char*, exit_code> outcomes[] = {{"accepted", exit_code::ok},
                                                          {"rejected", exit_code::rejected},
                                                          {"unknown", exit_code::unknown},
                                                          {"spreading", exit_code::unknown}};
    for (const auto& [state, expected] : outcomes) {
        cli_harness cli;
        cli.m_node.on("GET /_azureladder/v1/operator/changes/id-1", 200, {{"state", state}});
        EXPECT_EQ(cli({"status", "--apply-id", "id-1", "--json"}), expected);
        EXPECT_EQ(json::parse(cli.out())["state"], state);
    }
    cli_harness cli;
    cli.m_node.on("GET /_azureladder/v1/operator/changes/id-1", 404, {{"error", "not_found"}});
    respond_with_configuration(cli);
    EXPECT_EQ(cli({"status", "--apply-id", "id-1"}), exit_code::unknown);
}

} // namespace
} // namespace azureladder::cli
