#include "routing_fixture.hpp"

namespace azureladder::core::testing {

namespace {

constexpr int status_ok = 200;

/// The node serves claim slice `m_slice`; its standby is "b".
class claims : public routing_fixture
{
protected:
    claims()
    {
        m_state.m_directory.m_plans.at(self(m_state)).m_standbys = {{"b", 1}};
        announce();
        serve(m_slice);
    }

    /// A non-idempotent request whose idempotency key belongs to `m_slice`.
    request_info make_non_idempotent(const std::string& service = "shop") const
    {
        auto info = make_info(service);
        info.m_idempotent = false;
        info.m_idempotency_key = "id";
        return info;
    }

    void request_claim(std::uint64_t token, const node_id& from = "c")
    {
        receive(from, claim_request{token, m_slice, m_key});
    }

    void transfer_slice_to_c()
    {
        stop_serving(m_state, m_slice);
        set_owner(m_slice, "c", 2);
    }

    void acknowledge()
    {
        const auto copies = sent<claim_copy>();
        ASSERT_EQ(copies.size(), 1U);
        receive("b", claim_copy_ack{copies[0].m_sequence});
    }

    void report(executed outcome, const node_id& from = "c", std::uint64_t token = 1)
    {
        claim_result result;
        result.m_token = token;
        result.m_claim.m_slice = m_slice;
        result.m_claim.m_key = m_key;
        result.m_claim.m_has_reply = true;
        result.m_claim.m_status = 201;
        result.m_claim.m_body = "done";
        result.m_executed = outcome;
        receive(from, result);
    }

    claim_verdict verdict() const
    {
        const auto replies = sent<claim_reply>();
        EXPECT_EQ(replies.size(), 1U);
        return replies.empty() ? claim_verdict::refused : replies[0].m_verdict;
    }

    const std::string m_key = "shop/id";
    const slice_id m_slice = claim_slice(m_state, "shop", "id");
};

// Guards against a claim that is lost with its owner, because no standby has it.
TEST_F(claims, request_proceeds_only_after_the_standby_has_the_claim)
{
    request_claim(1);
    EXPECT_TRUE(sent<claim_reply>().empty());
    EXPECT_EQ(in_flight_request_count(m_state, m_slice), 1U);
    acknowledge();
    EXPECT_EQ(verdict(), claim_verdict::proceed);
    EXPECT_EQ(in_flight_request_count(m_state, m_slice), 0U);
}

// Guards against a retransmitted claim request that is handled as a repeat of the request.
TEST_F(claims, same_request_gets_the_same_verdict_and_a_repeat_does_not)
{
    request_claim(1);
    const auto copies = sent<claim_copy>();
    request_claim(1);
    EXPECT_TRUE(sent<claim_reply>().empty());
    receive("b", claim_copy_ack{copies[0].m_sequence});
    request_claim(1);
    EXPECT_EQ(verdict(), claim_verdict::proceed);
    request_claim(2);
    EXPECT_EQ(verdict(), claim_verdict::in_progress);
    request_claim(1, "b");
    EXPECT_EQ(verdict(), claim_verdict::in_progress);
}

// Guards against requests that proceed although the standby does not acknowledge the claim.
TEST_F(claims, missing_acknowledgement_refuses_and_withdraws)
{
    request_claim(1);
    advance(milliseconds(1020));
    EXPECT_EQ(verdict(), claim_verdict::refused);
    EXPECT_GE(sent<claim_copy>().size(), 3U);
    EXPECT_TRUE(sent<claim_copy>().back().m_withdrawn);
    request_claim(2);
    EXPECT_TRUE(sent<claim_reply>().empty());
}

// Guards against a second execution, and against a lost confirmation.
TEST_F(claims, executed_claim_is_replayed_and_unexecuted_claim_is_withdrawn)
{
    request_claim(1);
    acknowledge();
    report(executed::no, "b");
    request_claim(2);
    EXPECT_EQ(verdict(), claim_verdict::in_progress);
    report(executed::no);
    EXPECT_TRUE(sent<claim_copy>().at(0).m_withdrawn);
    request_claim(2);
    acknowledge();
    report(executed::yes);
    EXPECT_EQ(sent<claim_copy>().at(0).m_claim.m_body, "done");
    request_claim(3);
    EXPECT_EQ(verdict(), claim_verdict::replay);
    EXPECT_EQ(sent<claim_reply>()[0].m_body, "done");
    report(executed::no);
    request_claim(4);
    EXPECT_EQ(verdict(), claim_verdict::replay);
    advance(seconds(601));
    request_claim(5);
    EXPECT_TRUE(sent<claim_reply>().empty());
}

// Guards against a claim that stays in progress after its entry node was lost.
TEST_F(claims, claim_without_outcome_becomes_unknown)
{
    request_claim(1);
    acknowledge();
    advance(seconds(62));
    request_claim(2);
    EXPECT_EQ(verdict(), claim_verdict::unknown);
}

// Guards against answers of a node that no longer owns the claim slice.
TEST_F(claims, only_the_serving_owner_answers)
{
    request_claim(1);
    const auto copies = sent<claim_copy>();
    stop_serving(m_state, m_slice);
    receive("b", claim_copy_ack{copies[0].m_sequence});
    EXPECT_TRUE(sent<claim_reply>().empty());
    request_claim(2);
    EXPECT_TRUE(sent<claim_reply>().empty());
}

// Guards against a new owner that lacks claims or treats the key of a claim in progress as free.
TEST_F(claims, claims_move_with_their_slice)
{
    mark_claims_incomplete(m_state, m_slice, m_now - seconds(300));
    request_claim(1);
    EXPECT_EQ(verdict(), claim_verdict::unknown);
    m_state.m_claims.m_tables.clear();
    request_claim(1);
    acknowledge();
    mark_claims_incomplete(m_state, m_slice, m_now - seconds(300));
    const auto exported = export_claims(m_state, m_slice, m_now);
    m_state.m_claims.m_tables.clear();
    import_claims(m_state, exported, m_now);
    request_claim(1);
    EXPECT_EQ(verdict(), claim_verdict::unknown);
    receive("c", claim_request{9, m_slice, "shop/other"});
    EXPECT_EQ(verdict(), claim_verdict::unknown);
    report(executed::yes);
    request_claim(2);
    EXPECT_EQ(verdict(), claim_verdict::replay);
    m_now += seconds(301);
    receive("c", claim_request{9, m_slice, "shop/other"});
    EXPECT_TRUE(sent<claim_reply>().empty());
}

// Guards against unbounded growth of the claim table.
TEST_F(claims, full_table_refuses)
{
    m_state.m_options.m_claims_per_slice = 1;
    request_claim(1);
    receive("c", claim_request{2, m_slice, "shop/other"});
    EXPECT_EQ(verdict(), claim_verdict::refused);
}

// Guards against a new standby that takes over with an incomplete set of claims.
TEST_F(claims, baseline_follows_the_acknowledged_copies)
{
    request_claim(1);
    acknowledge();
    m_state.m_directory.m_plans.at(self(m_state)).m_standbys = {{"c", 1}};
    effects output;
    copy_claims_to_standbys(m_state, m_now, {m_slice}, output);
    advance(milliseconds(20));
    ASSERT_EQ(sent<claim_copy>().size(), 1U);
    EXPECT_TRUE(sent<claim_baseline>().empty());
    receive("c", claim_copy_ack{sent<claim_copy>()[0].m_sequence});
    advance(milliseconds(20));
    ASSERT_EQ(sent<claim_baseline>().size(), 1U);
    EXPECT_EQ(sent<claim_baseline>()[0].m_slice.m_epoch, 1U);
}

// Guards against a standby that uses an outdated baseline, or that acknowledges copies of a slice
// that it has taken over.
TEST_F(claims, standby_stores_copies_and_baseline)
{
    const slice_id other{claim_space, (m_slice.m_index + 1) % claim_slice_count};
    set_owner(other, "c", 4);
    m_state.m_directory.m_plans.at({"c", 1}).m_standbys = {self(m_state)};
    claim_copy copy;
    copy.m_sequence = 7;
    copy.m_claim.m_slice = other;
    copy.m_claim.m_key = "shop/x";
    receive("c", copy);
    EXPECT_EQ(sent<claim_copy_ack>().at(0).m_sequence, 7U);
    EXPECT_EQ(export_claims(m_state, other, m_now).at(0).m_state, claim_state::unknown);
    receive("c", claim_baseline{{other, 4}});
    EXPECT_TRUE(has_complete_claims(m_state, {other, 4}));
    EXPECT_FALSE(has_complete_claims(m_state, {other, 5}));
    copy.m_withdrawn = true;
    receive("c", copy);
    EXPECT_TRUE(export_claims(m_state, other, m_now).empty());
    m_state.m_directory.m_plans.at({"c", 1}).m_standbys = {{"b", 1}};
    receive("c", directory_push{});
    EXPECT_FALSE(has_complete_claims(m_state, {other, 4}));
    serve(other, 5);
    receive("c", copy);
    EXPECT_TRUE(sent<claim_copy_ack>().empty());
}

// Guards against a dispatch before the claim, and against a claim that remains after a request that
// was not executed.
TEST_F(claims, owner_of_a_divided_service_claims_before_the_dispatch)
{
    announce(false, "s1", "reports");
    serve(slice_of("k1"));
    auto info = make_non_idempotent("reports");
    info.m_forwarded_by = "c";
    const auto token = arrive(info);
    EXPECT_TRUE(all<dispatch_to_backend>().empty());
    EXPECT_EQ(in_flight_request_count(m_state, slice_of("k1")), 1U);
    acknowledge();
    ASSERT_EQ(all<dispatch_to_backend>().size(), 1U);
    arrive(info);
    EXPECT_EQ(error().m_code, error_code::claim_in_progress);
    EXPECT_EQ(error().m_executed, executed::unknown);
    auto finished = make_finished(token, 1, attempt_outcome::answered);
    finished.m_has_reply = true;
    finished.m_body = "booked";
    run(finished);
    EXPECT_EQ(all<answer_with_reply>().size(), 1U);
    arrive(info);
    ASSERT_EQ(all<answer_with_replay>().size(), 1U);
    EXPECT_EQ(all<answer_with_replay>()[0].m_body, "booked");
}

// Guards against the replay of a reply in which the backend server reports an unknown execution
// state.
TEST_F(claims, reply_with_unknown_execution_is_not_replayed)
{
    const auto token = arrive(make_non_idempotent());
    acknowledge();
    auto finished = make_finished(token, 1, attempt_outcome::answered);
    finished.m_executed = executed::unknown;
    finished.m_has_reply = true;
    run(finished);
    EXPECT_EQ(all<answer_with_reply>().size(), 1U);
    arrive(make_non_idempotent());
    EXPECT_EQ(error().m_code, error_code::claim_unknown);
}

// Guards against an entry node that dispatches without a verdict, does not retry after a lost
// message, or does not report the outcome to the owner.
TEST_F(claims, entry_node_retries_its_claim_until_the_owner_answers)
{
    transfer_slice_to_c();
    const auto token = arrive(make_non_idempotent());
    EXPECT_EQ(sent<claim_request>().size(), 1U);
    arrive(make_non_idempotent());
    EXPECT_EQ(error().m_code, error_code::claim_in_progress);
    advance(milliseconds(220));
    EXPECT_EQ(sent<claim_request>().size(), 1U);
    receive("c", claim_reply{token, claim_verdict::proceed});
    EXPECT_EQ(all<forward_request>().size() + all<dispatch_to_backend>().size(), 1U);
    finish(token, 1, attempt_outcome::answered);
    ASSERT_EQ(sent<claim_result>().size(), 1U);
    EXPECT_EQ(sent<claim_result>()[0].m_executed, executed::yes);
}

// Guards against an unbounded number of waiting requests while no node owns their claim slices.
TEST_F(claims, number_of_requests_that_wait_for_claims_is_bounded)
{
    constexpr int bound = 1024;
    stop_serving(m_state, m_slice);
    auto info = make_non_idempotent();
    for (int count = 0; count < bound; ++count) {
        info.m_idempotency_key = std::to_string(count);
        arrive(info);
        EXPECT_TRUE(all<answer_with_error>().empty());
    }
    arrive(make_non_idempotent());
    EXPECT_EQ(error().m_code, error_code::claim_refused);
    EXPECT_EQ(error().m_executed, executed::no);
}

// Guards against a request that is dispatched after its caller received "not executed".
TEST_F(claims, unanswered_claim_ends_with_the_deadline)
{
    transfer_slice_to_c();
    auto info = make_non_idempotent();
    info.m_timeout = milliseconds(500);
    const auto token = arrive(info);
    advance(milliseconds(520));
    EXPECT_EQ(error().m_executed, executed::no);
    EXPECT_EQ(sent<claim_result>().at(0).m_executed, executed::no);
    receive("c", claim_reply{token, claim_verdict::proceed});
    EXPECT_TRUE(all<forward_request>().empty());
    EXPECT_TRUE(all<dispatch_to_backend>().empty());
}

// Guards against a repeat that is rejected right after the caller received the reply, because the
// outcome is still in transit to the owner of the claim slice.
TEST_F(claims, entry_node_waits_for_the_outcome_of_an_earlier_request)
{
    transfer_slice_to_c();
    auto token = arrive(make_non_idempotent());
    receive("c", claim_reply{token, claim_verdict::in_progress});
    EXPECT_TRUE(all<answer_with_error>().empty());
    advance(milliseconds(60));
    EXPECT_EQ(sent<claim_request>().size(), 1U);
    receive("c", claim_reply{token, claim_verdict::replay, status_ok, "", "done"});
    ASSERT_EQ(all<answer_with_replay>().size(), 1U);
    token = arrive(make_non_idempotent());
    receive("c", claim_reply{token, claim_verdict::in_progress});
    advance(milliseconds(1020));
    receive("c", claim_reply{token, claim_verdict::in_progress});
    EXPECT_EQ(error().m_code, error_code::claim_in_progress);
}

// Guards against "not executed" for a repeated request while the first one is being executed.
TEST_F(claims, deadline_while_an_earlier_request_is_in_progress_is_unknown)
{
    transfer_slice_to_c();
    auto info = make_non_idempotent();
    info.m_timeout = milliseconds(300);
    receive("c", claim_reply{arrive(info), claim_verdict::in_progress});
    advance(milliseconds(320));
    EXPECT_EQ(error().m_executed, executed::unknown);
}

// Guards against a lost outcome, which leaves the claim in progress until it becomes unknown.
TEST_F(claims, outcome_is_resent_to_the_current_owner_until_acknowledged)
{
    transfer_slice_to_c();
    const auto token = arrive(make_non_idempotent());
    receive("c", claim_reply{token, claim_verdict::proceed});
    finish(token, 1, attempt_outcome::answered);
    EXPECT_EQ(sent<claim_result>().size(), 1U);
    set_owner(m_slice, "b", 3);
    advance(milliseconds(220));
    ASSERT_EQ(sent<claim_result>().size(), 1U);
    EXPECT_EQ(all<send_message>().back().m_to.m_node, "b");
    receive("b", claim_result_ack{token});
    advance(seconds(5));
    EXPECT_TRUE(sent<claim_result>().empty());
}

// Guards against an outcome that is acknowledged by a node that cannot pass it to the next owner.
TEST_F(claims, only_the_serving_owner_acknowledges_an_outcome)
{
    request_claim(1);
    acknowledge();
    report(executed::yes);
    EXPECT_EQ(sent<claim_result_ack>().at(0).m_token, 1U);
    stop_serving(m_state, m_slice);
    report(executed::yes);
    EXPECT_TRUE(sent<claim_result_ack>().empty());
}

// Guards against a second execution: the repeated withdrawal of a request that was not executed
// must not release the claim of the next request of the same node.
TEST_F(claims, late_withdrawal_does_not_release_a_later_claim)
{
    request_claim(1);
    acknowledge();
    report(executed::no);
    request_claim(2);
    acknowledge();
    report(executed::no);
    request_claim(3);
    EXPECT_EQ(verdict(), claim_verdict::in_progress);
}

// Guards against requests that are refused because a claim slice moves.
TEST_F(claims, claim_on_a_moving_slice_is_retried)
{
    request_claim(1);
    stop_serving(m_state, m_slice);
    advance(milliseconds(20));
    EXPECT_EQ(verdict(), claim_verdict::not_serving);
    set_owner(m_slice, "c", 2);
    const auto token = arrive(make_non_idempotent());
    receive("c", claim_reply{token, claim_verdict::not_serving});
    EXPECT_TRUE(all<answer_with_error>().empty());
    set_owner(m_slice, "b", 3);
    advance(milliseconds(60));
    ASSERT_EQ(sent<claim_request>().size(), 1U);
    EXPECT_EQ(all<send_message>().back().m_to.m_node, "b");
}

} // namespace

} // namespace azureladder::core::testing
