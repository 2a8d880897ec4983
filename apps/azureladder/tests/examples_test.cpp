#include "record_file.hpp"

#include <azureladder/base/object_reader.hpp>
#include <azureladder/records/document.hpp>
#include <azureladder/settings/load_settings.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace azureladder::cli {
namespace {

/// Sizes of a deployment in docs/design.md, section 1.2.
struct deployment
{
    const char* m_name;
    std::size_t m_max_upstreams;
    int m_slots;
    int m_connections;
    const char* m_divided_service;
};

class examples : public testing::TestWithParam<deployment>
{
protected:
    static std::string path(const std::string& file)
    {
        return std::string(AZURELADDER_EXAMPLES) + "/" + GetParam().m_name + "/" + file;
    }

    static json read(const std::string& file)
    {
        std::ifstream input(path(file));
        std::vector<field_error> errors;
        json value = parse_json_text({std::istreambuf_iterator<char>(input), {}}, true, errors);
        EXPECT_TRUE(errors.empty()) << file;
        return value;
    }

    static records::document document()
    {
        const auto records = read_record_file(path("records.json"));
        EXPECT_TRUE(records) << records.error().m_message;
        return records::apply_records({}, records.value(), "id").value();
    }
};

// Guards against example records that apply rejects.
TEST_P(examples, records_are_valid_and_of_both_versions)
{
    const auto value = document();
    EXPECT_EQ(value.m_services.size(), 4u);
    EXPECT_EQ(value.m_zones.size(), 3u);
    std::set<int> versions;
    for (const auto& [key, record] : value.m_records)
        versions.insert(record["schema_version"].get<int>());
    EXPECT_EQ(versions, (std::set<int>{1, 2}));
    for (const auto& [name, service] : value.m_services)
        EXPECT_EQ(service.m_divided_by_key, name == GetParam().m_divided_service);
}

// Guards against a table of nodes that is inconsistent in itself or with the records.
TEST_P(examples, nodes_match_the_documented_sizes)
{
    const auto value = document();
    std::map<std::string, std::size_t> upstreams;
    std::set<std::string> names;
    std::set<int> ports;
    const json table = read("nodes.json");
    for (const auto& row : table["nodes"]) {
        const auto service = row["service"].get<std::string>();
        ASSERT_NE(records::find_service(value, service), nullptr) << service;
        ++upstreams[service];
        EXPECT_EQ(row["slots"], GetParam().m_slots);
        EXPECT_EQ(row["connections"], GetParam().m_connections);
        EXPECT_TRUE(row["fencing"] == "checked" || row["fencing"] == "ignored");
        EXPECT_EQ(value.m_zones.count(row["zone"].get<std::string>()), 1u);
        EXPECT_TRUE(names.insert(row["node"].get<std::string>()).second);
        EXPECT_TRUE(names.insert(row["server"].get<std::string>()).second);
        for (const char* port : {"http_port", "peer_port", "backend_port"})
            EXPECT_TRUE(ports.insert(row[port].get<int>()).second);
    }
    EXPECT_EQ(upstreams.size(), 4u);
    for (const auto& [service, count] : upstreams) {
        EXPECT_GE(count, 3u) << service;
        EXPECT_LE(count, GetParam().m_max_upstreams) << service;
    }
}

// Guards against keys that no node in one of the zones may own.
TEST_P(examples, every_slice_space_has_owners_in_each_zone)
{
    const auto value = document();
    const auto& service = value.m_services.at(GetParam().m_divided_service);
    for (const auto& space : records::slice_spaces_of_service(service)) {
        std::set<std::string> zones;
        const json table = read("nodes.json");
        for (const auto& row : table["nodes"]) {
            const auto zone = row["zone"].get<std::string>();
            if (records::is_eligible_owner(value, space, row["service"], row["server"], zone))
                zones.insert(zone);
        }
        EXPECT_EQ(zones.size(), 3u) << space;
    }
}

// Guards against settings, annotated or generated from the table, that a node rejects.
TEST_P(examples, settings_are_valid_for_each_node)
{
    const auto annotated = settings::load_settings(path("settings.json"));
    ASSERT_TRUE(annotated) << to_string(annotated.error());
    const json table = read("nodes.json");
    for (const auto& row : table["nodes"]) {
        json generated = read("settings.json");
        const auto local = [&](const char* port) {
            return "127.0.0.1:" + std::to_string(row[port].get<int>());
        };
        generated.merge_patch({{"node", row["node"]},
                               {"availability_zone", row["zone"]},
                               {"http", {{"listen", local("http_port")}, {"advertise", nullptr}}},
                               {"peer", {{"listen", local("peer_port")}, {"advertise", nullptr}}}});
        const auto parsed = settings::parse_settings(generated.dump(), "generated");
        ASSERT_TRUE(parsed) << to_string(parsed.error());
    }
    const json first = table["nodes"][0];
    EXPECT_EQ(annotated.value().m_node, first["node"]);
    EXPECT_EQ(annotated.value().m_zone, first["zone"]);
    EXPECT_EQ(annotated.value().m_http.m_listen.m_port, first["http_port"]);
    EXPECT_EQ(annotated.value().m_peer.m_listen.m_port, first["peer_port"]);
}

INSTANTIATE_TEST_SUITE_P(deployments, examples,
                         testing::Values(deployment{"glenbrae", 4, 9, 120, "reporting"},
                                         deployment{"vzorkovna", 5, 12, 130, "katalog"}),
                         [](const auto& test) { return std::string(test.param.m_name); });

} // namespace
} // namespace azureladder::cli
