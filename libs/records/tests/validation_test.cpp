#include <azureladder/records/document.hpp>

#include <gtest/gtest.h>

namespace azureladder::records {
namespace {

/// Array of records; `json{record}` would copy the record instead.
json list(const std::vector<json>& records)
{
    return records;
}

/// A valid record, a patch that makes it invalid, and the expected path and message of the error.
struct invalid_field_case
{
    const char* m_record;
    const char* m_patch;
    const char* m_path;
    const char* m_expected;
};

const char* const valid_service_v1 =
    R"({"kind":"service","schema_version":1,"name":"s","divided_by_key":true,"slices":8,
        "zones":["z"],"max_execution_ms":5,"default_timeout_ms":5})";
const char* const valid_service_v2 =
    R"({"kind":"service","schema_version":2,"name":"s",
        "placement":{"divided_by_key":true,"slices":8,"key_groups":[{"name":"g","prefix":"p"}]},
        "execution":{"max_execution_ms":5},"routing":{"policy":"random","hedging":true}})";
const char* const valid_policy_v1 =
    R"({"kind":"key_policy","schema_version":1,"name":"p","service":"s","servers":["a"]})";
const char* const valid_policy_v2 =
    R"({"kind":"key_policy","schema_version":2,"name":"p","service":"s","owners":{}})";
const char* const valid_zone_v1 = R"({"kind":"zone","schema_version":1,"name":"z","state":"in"})";
const char* const valid_server_v2 =
    R"({"kind":"server","schema_version":2,"name":"z","state":"in","reason":"why"})";

// A null in a patch removes the field (JSON merge patch).
const invalid_field_case invalid_field_cases[] = {
    {valid_service_v1, R"({"kind":null})", "kind", "missing"},
    {valid_service_v1, R"({"kind":"router"})", "kind", "\"key_policy\""},
    {valid_service_v1, R"({"schema_version":null})", "schema_version", "missing"},
    {valid_service_v1, R"({"schema_version":3})", "schema_version", "from 1 to 2"},
    {valid_service_v1, R"({"name":null})", "name", "missing"},
    {valid_service_v1, R"({"name":"_s"})", "name", "a name of 1 to 64"},
    {valid_service_v1, R"({"name":"S"})", "name", "a name of 1 to 64"},
    {valid_service_v1, R"({"name":".."})", "name", "a name of 1 to 64"},
    {valid_service_v1, R"({"name":7})", "name", "found 7"},
    {valid_service_v1, R"({"divided_by_key":"yes"})", "divided_by_key", "true or false"},
    {valid_service_v1, R"({"slices":0})", "slices", "from 1 to 65536"},
    {valid_service_v1, R"({"slices":65537})", "slices", "from 1 to 65536"},
    {valid_service_v1, R"({"slices":8.0})", "slices", "an integer"},
    {valid_service_v1, R"({"slices":18446744073709551615})", "slices", "an integer"},
    {valid_service_v1, R"({"zones":"z"})", "zones", "an array"},
    {valid_service_v1, R"({"zones":["z","Z"]})", "zones[1]", "a name"},
    {valid_service_v1, R"({"zones":["z","z"]})", "zones[1]", "duplicate item"},
    {valid_service_v1, R"({"max_execution_ms":60001})", "max_execution_ms", "from 1 to 60000"},
    {valid_service_v1, R"({"max_execution_ms":null})", "max_execution_ms", "divided by key"},
    {valid_service_v1, R"({"default_timeout_ms":600001})", "default_timeout_ms", "to 600000"},
    {valid_service_v1, R"({"placement":{}})", "placement", "unknown field"},
    {valid_service_v2, R"({"slices":8})", "slices", "unknown field"},
    {valid_service_v2, R"({"placement":7})", "placement", "an object"},
    {valid_service_v2, R"({"placement":{"slice":8}})", "placement.slice", "unknown field"},
    {valid_service_v2, R"({"placement":{"divided_by_key":false}})", "placement.key_groups",
     "divided by key"},
    {valid_service_v2, R"({"placement":{"key_groups":[{"name":"g"}]}})",
     "placement.key_groups[0].prefix", "missing"},
    {valid_service_v2, R"({"placement":{"key_groups":[{"name":"g","prefix":""}]}})",
     "placement.key_groups[0].prefix", "a key prefix"},
    {valid_service_v2,
     R"({"placement":{"key_groups":[{"name":"g","prefix":"a"},{"name":"g","prefix":"b"}]}})",
     "placement.key_groups[1].name", "another key group"},
    {valid_service_v2,
     R"({"placement":{"key_groups":[{"name":"g","prefix":"a"},{"name":"h","prefix":"a"}]}})",
     "placement.key_groups[1].prefix", "another key group"},
    {valid_service_v2, R"({"execution":{"max_execution_ms":0}})", "execution.max_execution_ms",
     "from 1"},
    {valid_service_v2, R"({"execution":{"max_execution_ms":null}})", "execution.max_execution_ms",
     "missing"},
    {valid_service_v2, R"({"routing":{"policy":"best"}})", "routing.policy", "\"two_choices\""},
    {valid_service_v2, R"({"routing":{"hedging":1}})", "routing.hedging", "true or false"},
    {valid_policy_v1, R"({"service":null})", "service", "missing"},
    {valid_policy_v1, R"({"servers":null})", "servers", "missing"},
    {valid_policy_v1, R"({"zones":["z"]})", "zones", "unknown field"},
    {valid_policy_v2, R"({"owners":null})", "owners", "missing"},
    {valid_policy_v2, R"({"owners":{"servers":[1]}})", "owners.servers[0]", "a name"},
    {valid_policy_v2, R"({"owners":{"nodes":["a"]}})", "owners.nodes", "unknown field"},
    {valid_zone_v1, R"({"state":"off"})", "state", "\"in\" \"out\""},
    {valid_zone_v1, R"({"state":null})", "state", "missing"},
    {valid_zone_v1, R"({"reason":"x"})", "reason", "unknown field"},
    {valid_server_v2, R"({"reason":"a\nb"})", "reason", "control characters"},
    {valid_server_v2, R"({"reason":5})", "reason", "a text"},
};

// Guards against an invalid field that is accepted, or reported without its path or the expected
// value.
TEST(validation, reports_path_and_expectation)
{
    for (const auto& test : invalid_field_cases) {
        json record = json::parse(test.m_record);
        ASSERT_FALSE(validate_records(list({record}))) << test.m_record;
        record.merge_patch(json::parse(test.m_patch));
        const auto error = validate_records(list({json::parse(valid_zone_v1), record}));
        ASSERT_TRUE(error) << test.m_patch;
        EXPECT_EQ(error->m_path, std::string("records[1].") + test.m_path) << test.m_patch;
        EXPECT_NE(error->m_message.find(test.m_expected), std::string::npos)
            << test.m_patch << " gives: " << error->m_message;
    }
    EXPECT_EQ(validate_records(json::object())->m_path, "records");
    EXPECT_EQ(validate_records(list({1}))->m_path, "records[0]");
}

// Guards against an exception on, or the acceptance of, text that is not a document.
TEST(validation, malformed_documents_are_errors)
{
    const std::string deep = std::string(100000, '[');
    for (const std::string& text :
         {std::string(), std::string("{"), std::string("[]"), std::string("null"),
          std::string("{\"revision\":1e9999,\"records\":[]}"), std::string("\xff\xfe"), deep,
          std::string("{\"revision\":-1,\"records\":[]}"),
          std::string("{\"revision\":1,\"records\":{}}"), std::string("{\"revision\":1}"),
          std::string("{\"revision\":1,\"revision\":2,\"records\":[]}"),
          std::string("{\"revision\":1,\"records\":[{}]}"),
          std::string("{\"revision\":1,\"records\":[],\"more\":1}"),
          std::string("{\"revision\":1,\"records\":[],\"apply_ids\":[\"a\",\"a\"]}"),
          std::string("{\"revision\":1,\"records\":[]}x")})
        EXPECT_FALSE(parse_document(text)) << text.substr(0, 80);
    EXPECT_EQ(parse_document(R"({"revision":3,"records":[{"kind":"zone"}]})").error().m_path,
              "records[0].schema_version");
    EXPECT_TRUE(parse_document(R"({"revision":0,"records":[]})"));
}

} // namespace
} // namespace azureladder::records
