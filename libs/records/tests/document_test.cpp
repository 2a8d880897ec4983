#include <azureladder/records/document.hpp>

#include <gtest/gtest.h>

namespace azureladder::records {
namespace {

/// Array of records; `json{record}` would copy the record instead.
json list(const std::vector<json>& records)
{
    return records;
}

json service_v1(const std::string& name, bool divided = true)
{
    json record = {{"kind", "service"},
                   {"schema_version", 1},
                   {"name", name},
                   {"divided_by_key", divided},
                   {"slices", 32}};
    if (divided)
        record["max_execution_ms"] = 2000;
    return record;
}

json service_v2(const std::string& name)
{
    return {
        {"kind", "service"},
        {"schema_version", 2},
        {"name", name},
        {"placement",
         {{"divided_by_key", true},
          {"slices", 32},
          {"key_groups", {{{"name", "a"}, {"prefix", "x/"}}, {{"name", "b"}, {"prefix", "x/y"}}}},
          {"zones", {"z1", "z2"}}}},
        {"execution", {{"max_execution_ms", 2000}, {"default_timeout_ms", 900}}},
        {"routing", {{"policy", "round_robin"}, {"hedging", false}}}};
}

json policy_v2(const std::string& name, const std::string& service, const std::string& group)
{
    return {{"kind", "key_policy"}, {"schema_version", 2}, {"name", name},
            {"service", service},   {"group", group},      {"owners", {{"zones", {"z1"}}}}};
}

document applied(const std::vector<json>& records, const document& base = {})
{
    static int counter = 0;
    auto changed = apply_records(base, records, "apply-" + std::to_string(++counter));
    EXPECT_TRUE(changed) << changed.error().m_path << ": " << changed.error().m_message;
    return changed ? changed.value() : base;
}

std::string error_path(const std::vector<json>& records, const document& base = {})
{
    const auto changed = apply_records(base, records, "apply-x");
    return changed ? "accepted" : changed.error().m_path;
}

// Guards against schema versions 1 and 2 parsing the same content to different records.
TEST(records, versions_parse_to_the_same_service)
{
    const json v1 = {{"kind", "service"},
                     {"schema_version", 1},
                     {"name", "s"},
                     {"divided_by_key", true},
                     {"slices", 128},
                     {"zones", {"z1"}},
                     {"max_execution_ms", 2000},
                     {"default_timeout_ms", 900}};
    const json v2 = {{"kind", "service"},
                     {"schema_version", 2},
                     {"name", "s"},
                     {"placement", {{"divided_by_key", true}, {"slices", 128}, {"zones", {"z1"}}}},
                     {"execution", {{"max_execution_ms", 2000}, {"default_timeout_ms", 900}}}};
    const document old = applied({v1});
    const document changed = applied({v2}, old);
    const service_record& a = old.m_services.at("s");
    const service_record& b = changed.m_services.at("s");
    EXPECT_EQ(a.m_divided_by_key, b.m_divided_by_key);
    EXPECT_EQ(a.m_slices, b.m_slices);
    EXPECT_EQ(a.m_zones, b.m_zones);
    EXPECT_EQ(a.m_max_execution, b.m_max_execution);
    EXPECT_EQ(a.m_default_timeout, milliseconds(900));
    EXPECT_EQ(b.m_default_timeout, milliseconds(900));
    EXPECT_EQ(changed.m_records.size(), 1u);
    EXPECT_EQ(changed.m_revision, 2u);
    const json expected = {
        {{"record", "service/s"}, {"path", "schema_version"}, {"from", 1}, {"to", 2}}};
    EXPECT_EQ(diff_records(old, list({v2})), expected);
}

// Guards against a document that cannot combine records of both schema versions.
TEST(records, versions_work_side_by_side)
{
    const json policy_v1 = {{"kind", "key_policy"},
                            {"schema_version", 1},
                            {"name", "p1"},
                            {"service", "old"},
                            {"servers", {"old-1"}}};
    const json zone_v1 = {
        {"kind", "zone"}, {"schema_version", 1}, {"name", "z2"}, {"state", "out"}};
    const json server_v2 = {{"kind", "server"},
                            {"schema_version", 2},
                            {"name", "new-3"},
                            {"state", "out"},
                            {"reason", "disk"}};
    // The policies precede their services, because the order within a change does not matter.
    const document value = applied({policy_v1, policy_v2("p2", "new", "a"), service_v1("old"),
                                    service_v2("new"), zone_v1, server_v2});
    EXPECT_TRUE(is_eligible_owner(value, "old", "old", "old-1", "z1"));
    EXPECT_FALSE(is_eligible_owner(value, "old", "old", "old-2", "z1"));
    EXPECT_FALSE(is_eligible_owner(value, "old", "old", "old-1", "z2"));
    EXPECT_TRUE(is_eligible_owner(value, "new", "new", "new-1", "z1"));
    EXPECT_TRUE(is_eligible_owner(value, "new/a", "new", "new-1", "z1"));
    EXPECT_FALSE(is_eligible_owner(value, "new/a", "new", "new-3", "z1"));
    EXPECT_FALSE(is_eligible_owner(value, "new/c", "new", "new-1", "z1"));
    EXPECT_FALSE(is_eligible_owner(value, "old", "new", "new-1", "z1"));
    EXPECT_TRUE(is_eligible_owner(value, claim_space, "spread", "other-1", "z9"));
    EXPECT_FALSE(is_eligible_owner(value, claim_space, "spread", "other-1", "z2"));
    // Setting the zone to "in" restores eligibility where the service may run.
    const json zone_v2 = {{"kind", "zone"}, {"schema_version", 2}, {"name", "z2"}, {"state", "in"}};
    const document returned = applied({zone_v2}, value);
    EXPECT_TRUE(is_eligible_owner(returned, "old", "old", "old-1", "z2"));
    EXPECT_FALSE(is_eligible_owner(returned, "new/a", "new", "new-1", "z2"));
    EXPECT_FALSE(is_eligible_owner(returned, "new", "new", "new-1", "z3"));
}

// Guards against a key that maps to two slice spaces or to none.
TEST(records, key_belongs_to_the_longest_prefix)
{
    const service_record service = applied({service_v2("s")}).m_services.at("s");
    EXPECT_EQ(slice_space_of_key(service, "x/1"), "s/a");
    EXPECT_EQ(slice_space_of_key(service, "x/y1"), "s/b");
    EXPECT_EQ(slice_space_of_key(service, "x"), "s");
    EXPECT_EQ(slice_spaces_of_service(service), (std::vector<std::string>{"s", "s/a", "s/b"}));
    EXPECT_TRUE(slice_spaces_of_service(service_record{}).empty());
}

// Guards against a change after which nodes with different revisions place a key in different
// slices.
TEST(records, placement_cannot_change_once_accepted)
{
    const document base = applied({service_v1("s"), service_v2("t")});
    json record = service_v1("s");
    record["slices"] = 64;
    EXPECT_EQ(error_path({record}, base), "records[0].slices");
    EXPECT_EQ(error_path({service_v1("s", false)}, base), "records[0].divided_by_key");
    EXPECT_EQ(error_path({service_v1("t")}, base), "records[0].key_groups");
    record = service_v2("t");
    record["placement"]["key_groups"][0]["prefix"] = "z/";
    EXPECT_EQ(error_path({record}, base), "records[0].placement.key_groups");
    record = service_v2("t");
    record["execution"]["max_execution_ms"] = 3000;
    record["placement"]["zones"] = json::array();
    std::swap(record["placement"]["key_groups"][0], record["placement"]["key_groups"][1]);
    EXPECT_EQ(applied({record}, base).m_services.at("t").m_max_execution, seconds(3));
}

// Guards against key policies with dangling references and policies that contradict each other.
TEST(records, references_are_checked)
{
    const document base = applied({service_v1("s"), service_v2("t"), service_v1("spread", false)});
    EXPECT_EQ(error_path({policy_v2("p", "none", "")}, base), "records[0].service");
    EXPECT_EQ(error_path({policy_v2("p", "spread", "")}, base), "records[0].service");
    EXPECT_EQ(error_path({policy_v2("p", "s", "a")}, base), "records[0].group");
    EXPECT_EQ(error_path({policy_v2("p", "t", "a"), policy_v2("q", "t", "a")}, base), "records[1]");
    EXPECT_EQ(error_path({service_v1("u"), service_v1("u")}, base), "records[1]");
    json policy = policy_v2("p", "t", "a");
    policy["owners"]["zones"] = {"z9"};
    EXPECT_EQ(error_path({policy}, base), "records[0].owners.zones");
    EXPECT_FALSE(validate_records(list({policy_v2("p", "none", "")})));
    EXPECT_EQ(validate_records(list({policy_v2("p", "t", "c"), service_v2("t")}))->m_path,
              "records[0].group");
}

// Guards against applying a change twice, or failing to detect that it was applied, when the client
// retries after a lost response.
TEST(records, apply_ids_are_kept)
{
    document value;
    for (int i = 0; i < 300; ++i)
        value = apply_records(value, list({service_v1("s")}), "id-" + std::to_string(i)).value();
    EXPECT_EQ(value.m_apply_ids.size(), document::max_apply_ids);
    EXPECT_TRUE(has_apply_id(value, "id-299"));
    EXPECT_FALSE(has_apply_id(value, "id-43"));
    EXPECT_EQ(apply_records(value, list({service_v1("s")}), "id-299").error().m_path, "apply_id");
    EXPECT_EQ(apply_records(value, list({service_v1("s")}), "").error().m_path, "apply_id");
    EXPECT_EQ(apply_records(value, json::array(), "new").error().m_path, "records");
    const auto read = parse_document(serialize_document(value));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().m_apply_ids, value.m_apply_ids);
}

// Guards against a document that exceeds the value size limit of the platform store.
TEST(records, document_size_is_limited)
{
    std::vector<json> records;
    records.reserve(2000);
    for (int i = 0; i < 2000; ++i)
        records.push_back({{"kind", "server"},
                           {"schema_version", 2},
                           {"name", "server-" + std::to_string(i)},
                           {"state", "in"},
                           {"reason", std::string(500, 'r')}});
    EXPECT_EQ(error_path(records), "records");
}

} // namespace
} // namespace azureladder::records
