#include <azureladder/core/ownership.hpp>
#include <azureladder/core/plan_json.hpp>
#include <azureladder/core/step.hpp>

#include <gtest/gtest.h>

namespace azureladder::core::testing {

namespace {

const member_id owner{"a", 11};
const endpoint owner_address{"127.0.0.1", 1};

/// A witness that has received versions 1 and 2 of the plan of `owner`.
struct witness_fixture
{
    witness_fixture()
    {
        m_state = make_node_state({"w", "zone-w", {}, {"127.0.0.1", 2}}, core_options(), 5);
        m_state.m_ownership.m_phase = join_phase::joined;
        m_state.m_ownership.m_plan_shards = 1;
        m_state.m_ownership.m_slice_shards = 1;
        m_state.m_configuration.m_read_after_join = true;
        m_state.m_ownership.m_plan.m_member = self(m_state);
        m_state.m_ownership.m_plan.m_version = 1;
        m_state.m_ownership.m_active_plan = m_state.m_ownership.m_plan;
        directory_push push;
        for (const plan_version version : {1U, 2U}) {
            plan value;
            value.m_member = owner;
            value.m_version = version;
            value.m_witnesses = {self(m_state)};
            push.m_plans.push_back(value);
        }
        receive(push);
        tick();
    }

    effects receive(message value)
    {
        return step(m_state, m_now, message_received{owner, owner_address, std::move(value)});
    }

    effects request_lease(plan_version version)
    {
        return receive(lease_request{version, self(m_state).m_incarnation, ++m_sequence, 0, 0});
    }

    effects tick(duration wait = milliseconds(20))
    {
        m_now += wait;
        return step(m_state, m_now, timer_tick{});
    }

    void wait(duration time)
    {
        for (duration passed{0}; passed < time; passed += milliseconds(20))
            tick();
    }

    node_state m_state;
    time_point m_now{seconds(10)};
    std::uint64_t m_sequence = 0;
};

template <class Message>
std::optional<Message> sent(const effects& output)
{
    for (const auto& item : output) {
        const auto* send = std::get_if<send_message>(&item);
        if (send != nullptr && std::holds_alternative<Message>(send->m_message))
            return std::get<Message>(send->m_message);
    }
    return std::nullopt;
}

} // namespace

// Guards against a witness that sends its directory digest in each grant, and against one that does
// not send a changed digest because requests of the holder no longer contain one.
TEST(ownership_witness, sends_a_digest_that_the_holder_lacks)
{
    witness_fixture witness;
    const auto answer = [&](std::uint64_t stated) {
        const lease_request request{1, self(witness.m_state).m_incarnation, ++witness.m_sequence, 0,
                                    stated};
        return sent<lease_grant>(witness.receive(request)).value().m_directory_digest;
    };
    const auto known = digest(witness.m_state.m_directory);
    EXPECT_EQ(answer(known + 1), known);
    EXPECT_EQ(answer(0), known);
    EXPECT_EQ(answer(known), 0U);
    EXPECT_EQ(answer(0), 0U);
    install_location(witness.m_state.m_directory, {"orders", 1}, {owner, 1});
    EXPECT_EQ(answer(0), digest(witness.m_state.m_directory));
}

// Guards against lost answers when a request omits the holder's address, as most do, and against
// pulls that are counted as sent although no address is known.
TEST(ownership_witness, answers_a_request_without_address_at_the_address_in_the_plan)
{
    witness_fixture witness;
    const auto request_lease = [&](std::uint64_t digest) {
        const lease_request request{1, self(witness.m_state).m_incarnation, ++witness.m_sequence, 0,
                                    digest};
        return step(witness.m_state, witness.m_now, message_received{owner, {}, request});
    };
    EXPECT_FALSE(sent<directory_pull>(request_lease(1)));
    plan known = *find_plan(witness.m_state.m_directory, owner);
    ++known.m_version;
    known.m_peer_address = owner_address;
    install_plan(witness.m_state.m_directory, known);
    const auto output = request_lease(1);
    EXPECT_TRUE(sent<directory_pull>(output));
    EXPECT_TRUE(sent<lease_grant>(output));
    for (const auto& item : output) {
        if (const auto* send = std::get_if<send_message>(&item)) {
            EXPECT_EQ(send->m_address.m_port, owner_address.m_port);
        }
    }
}

// Guards against a grant after the promise, which would give a slice a second owner.
TEST(ownership_witness, refuses_after_expiry)
{
    witness_fixture witness;
    ASSERT_TRUE(sent<lease_grant>(witness.request_lease(1)));
    witness.wait(milliseconds(560));
    EXPECT_TRUE(sent<lease_grant>(witness.request_lease(1)));
    witness.wait(milliseconds(640));
    const auto refusal = sent<lease_refusal>(witness.request_lease(1));
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->m_reason, lease_refusal_reason::fenced);
}

// Guards against a promise for a lower version than the highest one that was granted.
TEST(ownership_witness, granted_version_does_not_decrease)
{
    witness_fixture witness;
    EXPECT_EQ(sent<lease_grant>(witness.request_lease(2))->m_plan_version, 2U);
    EXPECT_EQ(sent<lease_grant>(witness.request_lease(1))->m_plan_version, 2U);
    // The witness has not received version 3, so it renews the lease under the previous version.
    EXPECT_EQ(sent<lease_grant>(witness.request_lease(3))->m_plan_version, 2U);
}

// Guards against fencing an owner whose requests waited in the queue of a paused witness.
TEST(ownership_witness, handles_queued_requests_after_a_pause)
{
    witness_fixture witness;
    ASSERT_TRUE(sent<lease_grant>(witness.request_lease(1)));
    witness.tick(seconds(2));
    EXPECT_TRUE(sent<lease_grant>(witness.request_lease(1)));
    witness.tick();
    EXPECT_TRUE(sent<lease_grant>(witness.request_lease(1)));
}

// Guards against a grant by a restarted process, which has lost the promises of its predecessor.
TEST(ownership_witness, refuses_a_request_for_another_incarnation)
{
    witness_fixture witness;
    const auto refusal = sent<lease_refusal>(witness.receive(lease_request{1, 999, 1, 0, 0}));
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->m_reason, lease_refusal_reason::unknown_member);
    EXPECT_EQ(refusal->m_requested_witness, 999U);
}

// Guards against a crash on malformed store values.
TEST(plan_json, malformed_values_are_ignored)
{
    std::size_t malformed = 0;
    EXPECT_FALSE(plan_shard_from_text("[1]", malformed));
    EXPECT_FALSE(slice_table_from_text("{", malformed));
    EXPECT_TRUE(plan_shard_from_text(R"({"a/1": {"node": 7}, "b/2": null})", malformed)->empty());
    EXPECT_EQ(malformed, 2U);
    const auto table =
        slice_table_from_text(R"({"3": ["a", 1, 2], "x": [], "4": ["a", -1, 2]})", malformed);
    EXPECT_EQ(table->size(), 1U);
    plan value;
    value.m_member = owner;
    value.m_slices = {{{"orders/vip", 3}, 9}};
    value.m_standbys = {{"s", 18446744073709551615U}};
    const auto copy = plan_from_json(json::parse(plan_to_json(value).dump()));
    ASSERT_TRUE(copy);
    EXPECT_EQ(plan_to_json(*copy), plan_to_json(value));
}

} // namespace azureladder::core::testing
