#include "cluster_fixture.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <unistd.h>

namespace azureladder::integration {

namespace {

constexpr int status_ok = 200;
constexpr milliseconds settle_limit{30'000};

std::vector<deployment::node_spec> make_nodes()
{
    std::vector<deployment::node_spec> nodes;
    for (const std::string service : {"reporting", "bookings"}) {
        for (const std::string zone : {"zone-a", "zone-b", "zone-c"}) {
            deployment::node_spec spec;
            spec.m_zone = zone;
            spec.m_service = service;
            spec.m_server = service + "-" + zone.back();
            spec.m_node = "n-" + spec.m_server;
            nodes.push_back(spec);
        }
    }
    return nodes;
}

json make_records()
{
    return json::parse(R"([
        {"kind": "service", "schema_version": 1, "name": "reporting", "divided_by_key": true,
         "slices": 12, "max_execution_ms": 200},
        {"kind": "service", "schema_version": 2, "name": "bookings",
         "placement": {"divided_by_key": false}}
    ])");
}

json load_configuration(const deployment::cluster& test_cluster, unsigned duration_s)
{
    json targets = json::array();
    for (const auto& node : test_cluster.nodes())
        targets.push_back(to_string(test_cluster.http_address(node.m_node)));
    return {
        {"seed", 7},
        {"duration_s", duration_s},
        {"max_requests", 200'000},
        {"targets", targets},
        {"services",
         {{{"name", "reporting"},
           {"rate", 60},
           {"path", "/summary"},
           {"timeout_ms", 3'000},
           {"keys", {{"distribution", "uniform"}, {"count", 200}}},
           {"methods", {{{"method", "GET"}, {"weight", 1}}}}},
          {{"name", "bookings"},
           {"rate", 60},
           {"path", "/jobs"},
           {"timeout_ms", 3'000},
           {"methods",
            {{{"method", "GET"}, {"weight", 1}},
             {{"method", "POST"}, {"weight", 1}, {"idempotency_key", true}, {"repeats", 2}}}}}}}};
}

/// Whether every owner of `reporting` has standbys, all of which can serve its slices.
bool owners_have_standbys(const json& status)
{
    for (const auto& plan : status.at("plans")) {
        if (plan.at("service") != "reporting")
            continue;
        for (const auto& standby : plan.at("standbys")) {
            if (standby.get<std::string>().rfind("n-reporting", 0) != 0)
                return false;
        }
        if (plan.at("standbys").empty())
            return false;
    }
    return true;
}

/// Whether each owner's plan lists all its slices. Without the platform store a standby can take
/// over only slices that a plan lists.
bool plans_list_all_slices(const json& status)
{
    std::map<std::string, std::size_t> owned;
    for (const auto& slices : status.at("slices")) {
        for (const auto& location : slices)
            ++owned[location.at("owner").get<std::string>()];
    }
    for (const auto& plan : status.at("plans")) {
        if (plan.at("slices").get<std::size_t>() != owned[plan.at("node").get<std::string>()])
            return false;
    }
    return true;
}

std::string test_directory()
{
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    const auto path = std::filesystem::temp_directory_path() /
                      ("azureladder-" + std::to_string(::getpid()) + "-" + info->name());
    return path.string();
}

} // namespace

cluster_fixture::cluster_fixture(bool fault_links) : m_directory(test_directory())
{
    deployment::cluster_options options;
    options.m_binaries = AZURELADDER_BINARIES;
    options.m_directory = m_directory;
    options.m_nodes = make_nodes();
    options.m_fault_links = fault_links;
    options.m_settings = {{"cluster", {{"plan_shards", 2}, {"slice_shards", 2}}}};
    m_test_cluster = std::make_unique<deployment::cluster>(std::move(options));
}

cluster_fixture::~cluster_fixture()
{
    m_load.reset();
    m_test_cluster.reset();
    if (!HasFailure())
        std::filesystem::remove_all(m_directory);
    else
        std::fprintf(stderr, "logs of the failed test: %s\n", m_directory.c_str());
}

void cluster_fixture::start()
{
    ASSERT_TRUE(m_test_cluster->start());
    const auto applied = m_test_cluster->apply("n-reporting-a", make_records());
    ASSERT_EQ(applied.m_exit_code, 0) << applied.m_output;
    const auto all_owned = [&] {
        const auto status = m_test_cluster->status("n-bookings-c");
        return status && (*status)["slices"].contains("reporting") &&
               (*status)["slices"]["reporting"].size() == 12 && owners_have_standbys(*status) &&
               plans_list_all_slices(*status) && served("n-bookings-c", "k1") &&
               send_booking("n-bookings-c", "warm-up") == status_ok;
    };
    ASSERT_TRUE(deployment::wait_until(all_owned, settle_limit));
}

void cluster_fixture::start_load(unsigned duration_s)
{
    const auto file = m_directory + "/load.json";
    std::ofstream(file) << load_configuration(*m_test_cluster, duration_s).dump(2);
    m_load = std::make_unique<deployment::process>(
        std::string(AZURELADDER_BINARIES) + "/azureladder-load",
        std::vector<std::string>{"--config", file, "--history", m_directory + "/calls.history",
                                 "--report", m_directory + "/report.json"},
        m_directory + "/load.out");
}

json cluster_fixture::finish_load()
{
    EXPECT_EQ(m_load->wait(), 0);
    std::ifstream file(m_directory + "/report.json");
    std::ostringstream content;
    content << file.rdbuf();
    return json::parse(content.str(), nullptr, false);
}

std::uint64_t cluster_fixture::count(const json& report, const std::string& outcome)
{
    std::uint64_t total = 0;
    for (const auto& entry : report.at("results")) {
        if (entry.at("outcome") == outcome)
            total += entry.at("count").get<std::uint64_t>();
    }
    return total;
}

std::uint64_t cluster_fixture::failures(const json& report)
{
    std::uint64_t total = 0;
    for (const auto& entry : report.at("results")) {
        if (entry.at("outcome") != "ok")
            total += entry.at("count").get<std::uint64_t>();
    }
    return total;
}

void cluster_fixture::expect_clean_audit()
{
    std::vector<std::string> arguments = {"audit"};
    for (const auto& file : m_test_cluster->log_files())
        arguments.push_back(file);
    if (std::filesystem::exists(m_directory + "/calls.history"))
        arguments.push_back(m_directory + "/calls.history");
    const auto audit_result = m_test_cluster->command("n-bookings-a", arguments);
    EXPECT_EQ(audit_result.m_exit_code, 0) << audit_result.m_output;
}

std::vector<json> cluster_fixture::log_lines(const std::string& node,
                                             const std::string& event) const
{
    std::vector<json> lines;
    std::ifstream file(m_directory + "/" + node + ".log");
    for (std::string line; std::getline(file, line);) {
        // The last line may be incomplete while the process runs.
        auto value = json::parse(line, nullptr, false);
        if (value.is_object() && value.value("event", "") == event)
            lines.push_back(std::move(value));
    }
    return lines;
}

std::string cluster_fixture::owner_of(const std::string& entry, const std::string& key)
{
    const auto output = m_test_cluster->command(entry, {"--json", "where", "reporting", key});
    const auto value = json::parse(output.m_output, nullptr, false);
    const bool known = value.is_object() && value.contains("owner") && value["owner"].is_string();
    return known ? value["owner"].get<std::string>() : std::string();
}

bool cluster_fixture::served(const std::string& entry, const std::string& key)
{
    http::request message;
    message.m_target = "/reporting/summary";
    message.m_headers.push_back({"Azureladder-Key", key});
    const auto reply = m_test_cluster->call(entry, message);
    return reply && reply.value().m_status == status_ok;
}

int cluster_fixture::send_booking(const std::string& entry, const std::string& idempotency_key)
{
    http::request message;
    message.m_method = "POST";
    message.m_target = "/bookings/jobs";
    message.m_headers.push_back({"Idempotency-Key", idempotency_key});
    message.m_body = "{}";
    const auto reply = m_test_cluster->call(entry, message);
    return reply ? reply.value().m_status : 0;
}

} // namespace azureladder::integration
