#include "cluster_scenarios.hpp"
#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

namespace azureladder::core::testing {

namespace {

/// One node whose state the tests set directly; the plan of owner "m" names it as the only standby.
class ownership_rules : public ::testing::Test
{
protected:
    ownership_rules() : m_state(make_node_state({"n", "zone-a", {}, {}}, core_options(), 1))
    {
        for (const plan_version version : {3, 4}) {
            plan content;
            content.m_member = m_owner;
            content.m_version = version;
            content.m_witnesses = {{"w1", 1}, {"w2", 2}, {"w3", 3}};
            content.m_standbys = {self(m_state)};
            m_state.m_ownership.m_plan_history[m_owner][version] = content;
        }
    }

    void promise(const member_id& witness, plan_version version)
    {
        m_state.m_ownership.m_promises[m_owner][witness] = version;
    }

    plan& content(plan_version version)
    {
        return m_state.m_ownership.m_plan_history[m_owner][version];
    }

    /// Gives the node a lease that does not expire: it has joined and its plan has no witnesses.
    void hold_lease()
    {
        auto& own = m_state.m_ownership;
        own.m_phase = join_phase::joined;
        own.m_plan.m_member = self(m_state);
        own.m_plan.m_version = 7;
        own.m_active_plan = own.m_plan;
        m_state.m_configuration.m_read_after_join = true;
    }

    /// Number of slices that the node refuses when the owner releases one with plan version
    /// `version`.
    std::size_t refused(plan_version version)
    {
        effects output;
        handle_release(m_state, m_now, {m_owner, {}, release{}}, {version, {m_released}, {}},
                       output);
        std::size_t count = 0;
        for (const auto& effect : output) {
            const auto* sent = std::get_if<send_message>(&effect);
            const auto* ack = sent ? std::get_if<release_ack>(&sent->m_message) : nullptr;
            count += ack ? ack->m_refused.size() : 0;
        }
        return count;
    }

    const member_id m_owner{"m", 9};
    const owned_slice m_released{{claim_space, 1}, 5};
    const time_point m_now{seconds(10)};
    node_state m_state;
};

// Guards against two owners: the sender of a refused release serves the slice again, so a repeated
// release with the same version must not be accepted when the receiver is back in service.
TEST_F(ownership_rules, refused_release_is_never_accepted_later)
{
    hold_lease();
    for (const plan_version version : {3, 4})
        content(version).m_slices = {m_released};
    m_state.m_stopping = true;
    EXPECT_EQ(refused(3), 1U);
    m_state.m_stopping = false;
    EXPECT_EQ(refused(3), 1U);
    EXPECT_EQ(m_state.m_ownership.m_slices.count(m_released.m_slice), 0U);
    EXPECT_EQ(refused(4), 0U);
    EXPECT_EQ(m_state.m_ownership.m_slices.count(m_released.m_slice), 1U);
}

// Guards against two owners: a release with a later version may have been accepted when the refusal
// of an earlier one arrives.
TEST_F(ownership_rules, owner_serves_again_only_after_a_refusal_of_its_active_version)
{
    hold_lease();
    auto& held = m_state.m_ownership.m_slices[m_released.m_slice];
    held.m_epoch = m_released.m_epoch;
    held.m_phase = slice_phase::releasing;
    held.m_handoff_receiver = m_owner;
    const message_received answer{m_owner, {}, release_ack{}};
    handle_release_ack(m_state, m_now, answer, {6, {m_released}});
    EXPECT_EQ(held.m_phase, slice_phase::releasing);
    handle_release_ack(m_state, m_now, answer, {7, {m_released}});
    EXPECT_EQ(held.m_phase, slice_phase::serving);
    EXPECT_GT(m_state.m_ownership.m_stored_version, 7U);
}

// Guards against two standbys that both take over, with promises for different plan versions.
TEST_F(ownership_rules, promises_count_only_for_their_exact_version)
{
    promise({"w1", 1}, 3);
    promise({"w2", 2}, 4);
    EXPECT_EQ(fenced_plan(m_state, m_owner), nullptr);
    promise({"w3", 3}, 4);
    ASSERT_NE(fenced_plan(m_state, m_owner), nullptr);
    EXPECT_EQ(fenced_plan(m_state, m_owner)->m_version, 4U);
}

// Guards against a takeover with promises of a minority or of nodes that are not witnesses.
TEST_F(ownership_rules, only_a_majority_of_the_witnesses_fences)
{
    promise({"w1", 1}, 3);
    promise({"w2", 7}, 3);
    promise({"x", 1}, 3);
    EXPECT_EQ(fenced_plan(m_state, m_owner), nullptr);
    promise({"w2", 2}, 3);
    EXPECT_NE(fenced_plan(m_state, m_owner), nullptr);
}

// Guards against a takeover while the previous witnesses still grant leases to the owner.
TEST_F(ownership_rules, joint_version_needs_both_majorities)
{
    content(3).m_previous_witnesses = {{"p1", 1}, {"p2", 2}, {"p3", 3}};
    promise({"w1", 1}, 3);
    promise({"w2", 2}, 3);
    promise({"p1", 1}, 3);
    EXPECT_EQ(fenced_plan(m_state, m_owner), nullptr);
    promise({"p2", 2}, 3);
    EXPECT_NE(fenced_plan(m_state, m_owner), nullptr);
}

/// A balanced cluster; the tests send lease requests of "a1" to one of its witnesses directly.
class witness_rules : public ::testing::Test
{
protected:
    witness_rules() : m_cluster(31) {}

    void SetUp() override
    {
        start_balanced(m_cluster);
        m_owner = self(m_cluster.node("a1").m_state);
        m_witness = m_cluster.node("a1").m_state.m_ownership.m_plan.m_witnesses.at(0);
    }

    /// Answer of the witness to a lease request of the original incarnation of "a1".
    std::optional<message> request_lease(revision_number revision)
    {
        auto& owner = m_cluster.node("a1");
        lease_request request;
        request.m_witness = m_witness.m_incarnation;
        request.m_plan_version = owner.m_state.m_ownership.m_plan.m_version;
        request.m_sequence = 1;
        request.m_revision = revision;
        const message_received received{m_owner, owner.m_identity.m_peer_address, request};
        auto& witness = m_cluster.node(m_witness.m_node);
        for (const auto& output : step(witness.m_state, m_cluster.local_time(witness), received)) {
            const auto* sent = std::get_if<send_message>(&output);
            if (sent != nullptr && (std::holds_alternative<lease_grant>(sent->m_message) ||
                                    std::holds_alternative<lease_refusal>(sent->m_message)))
                return sent->m_message;
        }
        return std::nullopt;
    }

    std::optional<lease_refusal_reason> refusal(revision_number revision)
    {
        const auto answer = request_lease(revision);
        const auto* refused = answer ? std::get_if<lease_refusal>(&*answer) : nullptr;
        return refused == nullptr ? std::nullopt : std::make_optional(refused->m_reason);
    }

    revision_number revision()
    {
        return m_cluster.node("a1").m_state.m_configuration.m_document.m_revision;
    }

    cluster_harness m_cluster;
    member_id m_owner;
    member_id m_witness;
};

// Guards against a node that keeps its lease although it has not received an operator's change.
TEST_F(witness_rules, lease_is_refused_to_an_older_revision)
{
    EXPECT_EQ(refusal(revision()), std::nullopt);
    EXPECT_EQ(refusal(revision() - 1), lease_refusal_reason::stale_revision);
}

// Guards against a lease that is granted after the promise that lets a standby take over.
TEST_F(witness_rules, lease_is_refused_after_the_promise)
{
    m_cluster.set_isolated("a1", true);
    m_cluster.run_for(seconds(2));
    EXPECT_EQ(refusal(revision()), lease_refusal_reason::fenced);
    m_cluster.run_for(seconds(60));
    EXPECT_EQ(refusal(revision()), lease_refusal_reason::fenced);
}

// Guards against a lease that ends later at the owner than at its witnesses: it starts when the
// request is sent, not when the grant arrives.
TEST_F(witness_rules, lease_is_counted_from_the_send)
{
    m_cluster.m_faults.m_min_delay = milliseconds(150);
    m_cluster.m_faults.m_max_delay = milliseconds(150);
    m_cluster.run_for(seconds(3));
    auto& owner = m_cluster.node("a1");
    ASSERT_TRUE(holds_lease(owner.m_state, m_cluster.local_time(owner)));
    for (int step = 0; step < 1000; ++step) {
        m_cluster.run_for(milliseconds(1));
        // 600 ms less 2 % clock error less the 300 ms between request and grant.
        EXPECT_LE(lease_end(owner.m_state) - m_cluster.local_time(owner), milliseconds(288));
    }
}

// Guards against idle ticks that are so rare that a lease renewal or the detection of an expired
// lease is late, and against idle nodes that tick at the full rate.
TEST_F(witness_rules, idle_nodes_tick_rarely_and_on_time)
{
    m_cluster.run_for(seconds(10));
    const auto soon = core_options().m_tick_interval;
    std::size_t idle = 0;
    for (int step = 0; step < 400; ++step) {
        m_cluster.run_for(milliseconds(5));
        for (const auto& name : m_cluster.names()) {
            const auto& node = m_cluster.node(name);
            const auto now = m_cluster.local_time(node);
            auto due =
                std::min(lease_end(node.m_state), node.m_state.m_ownership.m_next_lease_round);
            for (const auto& [member, granted] : node.m_state.m_ownership.m_granted_leases)
                due = std::min(due, granted.m_expires);
            const auto next = next_tick(node.m_state, now);
            EXPECT_LE(next, std::max(due, now + soon));
            idle += next > now + soon ? 1 : 0;
        }
    }
    EXPECT_GT(idle, 400U);
}

request_info open_request_info(const std::string& service, const std::string& key)
{
    request_info info;
    info.m_request_id = "r1";
    info.m_service = service;
    info.m_key = key;
    info.m_timeout = seconds(10);
    return info;
}

/// Successful reply to the only attempt of the request with token 1.
attempt_finished finished_attempt()
{
    attempt_finished finished;
    finished.m_token = 1;
    finished.m_attempt = 1;
    finished.m_outcome = attempt_outcome::answered;
    finished.m_status = 200;
    finished.m_executed = executed::yes;
    return finished;
}

/// A balanced cluster with a request in flight at the owner of a slice.
class drain_rules : public ::testing::Test
{
protected:
    drain_rules() : m_cluster(32) {}

    void SetUp() override
    {
        start_balanced(m_cluster);
        m_slice = {"orders", slice_of_key(m_key, 12)};
        m_owner = m_cluster.serving_node(m_slice);
        ASSERT_FALSE(m_owner.empty());
        m_cluster.inject(m_owner, request_arrived{1, open_request_info("orders", m_key)});
        m_cluster.run_for(milliseconds(1));
        ASSERT_EQ(in_flight_request_count(m_cluster.node(m_owner).m_state, m_slice), 1U);
    }

    const std::string m_key = "k1";
    cluster_harness m_cluster;
    slice_id m_slice;
    std::string m_owner;
};

// Guards against a planned stop that interrupts a request, and against a new owner that serves
// before the request has finished.
TEST_F(drain_rules, planned_stop_waits_for_the_request)
{
    m_cluster.stop(m_owner);
    m_cluster.run_for(milliseconds(150));
    EXPECT_EQ(m_cluster.serving_node(m_slice), "");
    EXPECT_FALSE(m_cluster.node(m_owner).m_finished);
    m_cluster.inject(m_owner, finished_attempt());
    EXPECT_TRUE(
        m_cluster.run_until([&] { return m_cluster.node(m_owner).m_finished; }, seconds(5)));
    EXPECT_TRUE(m_cluster.run_until([&] { return m_cluster.all_served(); }, seconds(5)));
    EXPECT_EQ(m_cluster.m_events_logged["stop_without_release"], 0U);
    expect_no_violations(m_cluster);
}

// Guards against a planned stop that interrupts a request of a spread service. The request does
// not delay the release of slices, so they are released before it ends.
TEST(stop_rules, planned_stop_waits_for_a_request_of_a_spread_service)
{
    cluster_harness cluster(34);
    const json shop = {{"kind", "service"}, {"schema_version", 2}, {"name", "shop"}};
    cluster.apply(json::array({shop}));
    for (const std::string zone : {"a", "b", "c"})
        cluster.add_node(zone + "1", "zone-" + zone, "shop");
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(20)));
    cluster.run_for(seconds(10));
    auto& node = cluster.node("a1");
    cluster.inject("a1", request_arrived{1, open_request_info("shop", "")});
    cluster.run_for(milliseconds(1));
    ASSERT_EQ(open_request_count(node.m_state), 1U);
    cluster.stop("a1");
    cluster.run_for(seconds(5));
    EXPECT_EQ(cluster.served_slice_count("a1"), 0U);
    EXPECT_FALSE(node.m_finished);
    cluster.inject("a1", finished_attempt());
    EXPECT_TRUE(cluster.run_until([&] { return node.m_finished; }, seconds(2)));
    EXPECT_EQ(cluster.m_events_logged["stop_without_release"], 0U);
    expect_no_violations(cluster);
}

// Guards against a second execution after a takeover by a standby that never received the claims.
TEST(claim_rules, claims_are_lost_without_their_baseline)
{
    for (const bool has_baseline : {true, false}) {
        cluster_harness cluster(33);
        start_balanced(cluster);
        const slice_id slice{claim_space, 5};
        const auto owner = cluster.serving_node(slice);
        if (!has_baseline) {
            for (const auto& name : cluster.names())
                cluster.node(name).m_state.m_claims.m_received_baselines.clear();
        }
        cluster.kill(owner);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(5)));
        auto& new_owner = cluster.node(cluster.serving_node(slice));
        const auto& table = new_owner.m_state.m_claims.m_tables[slice];
        EXPECT_EQ(cluster.local_time(new_owner) < table.m_incomplete_until, !has_baseline);
        expect_no_violations(cluster);
    }
}

} // namespace

} // namespace azureladder::core::testing
