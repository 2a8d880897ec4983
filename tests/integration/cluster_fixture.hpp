#pragma once

#include <azureladder/deployment/cluster.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace azureladder::integration {

/// Six nodes in three availability zones: `reporting`, divided by key, and `bookings`, spread.
/// Each test ends with the audit of the logs of all routers, backend servers and callers.
class cluster_fixture : public ::testing::Test
{
protected:
    /// With `fault_links` the links between nodes and to the store can be cut.
    explicit cluster_fixture(bool fault_links = false);
    ~cluster_fixture() override;

    /// Starts the cluster, applies the records and waits until every slice has an owner.
    void start();

    /// Starts `azureladder-load` for a number of seconds: reads of `reporting` keys, reads and
    /// repeated non-idempotent requests of `bookings`.
    void start_load(unsigned duration_s);

    /// Waits for the end of the load and returns its report.
    json finish_load();

    /// Number of calls of the report with this outcome; all services and classes.
    static std::uint64_t count(const json& report, const std::string& outcome);

    /// Calls of the report that were not answered "ok".
    static std::uint64_t failures(const json& report);

    /// Expects that the audit of all logs finds no violation.
    void expect_clean_audit();

    /// Lines of the router of `node` with this event.
    std::vector<json> log_lines(const std::string& node, const std::string& event) const;

    /// Node that owns the slice of a `reporting` key according to `entry`; empty when unknown.
    std::string owner_of(const std::string& entry, const std::string& key);

    /// Whether a read of `key` through `entry` is answered with 200.
    bool served(const std::string& entry, const std::string& key);

    /// Sends a non-idempotent request to `bookings` and returns its status, 0 without an answer.
    int send_booking(const std::string& entry, const std::string& idempotency_key);

    deployment::cluster& test_cluster() { return *m_test_cluster; }
    const std::string& directory() const { return m_directory; }

private:
    std::string m_directory;
    std::unique_ptr<deployment::cluster> m_test_cluster;
    std::unique_ptr<deployment::process> m_load;
};

} // namespace azureladder::integration
