#include "routing_fixture.hpp"

namespace azureladder::core::testing {

namespace {

class routing_requests : public routing_fixture
{
};

// Guards against a request that reaches the backend server without the slice, epoch and lease end
// that fence it.
TEST_F(routing_requests, owner_dispatches_with_slice_epoch_and_lease_end)
{
    announce(false, "s1", "reports");
    serve(slice_of("k1"), 5);
    set_lease_end(m_state, m_now + milliseconds(300));
    m_state.m_configuration.m_document.m_services["reports"].m_max_execution = milliseconds(700);
    const auto token = arrive(make_info("reports"));
    const auto dispatches = all<dispatch_to_backend>();
    ASSERT_EQ(dispatches.size(), 1U);
    EXPECT_EQ(dispatches[0].m_slice.m_slice, slice_of("k1"));
    EXPECT_EQ(dispatches[0].m_slice.m_epoch, 5U);
    EXPECT_EQ(dispatches[0].m_send_before, m_now + milliseconds(300));
    EXPECT_EQ(dispatches[0].m_deadline, m_now + milliseconds(700));
    EXPECT_TRUE(logged("request_received"));
    EXPECT_TRUE(logged("request_dispatched"));
    finish(token, 1, attempt_outcome::answered);
    EXPECT_EQ(all<answer_with_reply>().size(), 1U);
    EXPECT_EQ(all<record_request>().size(), 1U);
    EXPECT_EQ(open_request_count(m_state), 0U);
}

// Guards against a request that is sent to a node other than the owner of its slice.
TEST_F(routing_requests, entry_forwards_to_the_owner)
{
    set_owner(slice_of("k1"), "c", 2);
    const auto token = arrive(make_info("reports"));
    const auto forwards = all<forward_request>();
    ASSERT_EQ(forwards.size(), 1U);
    EXPECT_EQ(forwards[0].m_to.m_node, "c");
    EXPECT_EQ(forwards[0].m_deadline, m_now + seconds(5));
    finish(token, 1, attempt_outcome::answered);
    EXPECT_EQ(all<answer_with_reply>().size(), 1U);
}

// Guards against requests that are forwarded more than once.
TEST_F(routing_requests, forwarded_request_is_never_forwarded_again)
{
    set_owner(slice_of("k1"), "c", 2);
    auto info = make_info("reports");
    info.m_forwarded_by = "b";
    arrive(info);
    EXPECT_TRUE(all<forward_request>().empty());
    EXPECT_EQ(error().m_code, error_code::no_owner);
    EXPECT_EQ(error().m_executed, executed::no);
    EXPECT_TRUE(all<record_request>().empty());
    EXPECT_FALSE(logged("request_received"));
}

// Guards against invalid requests that are accepted.
TEST_F(routing_requests, invalid_requests_are_answered_not_executed)
{
    arrive(make_info("nothing"));
    EXPECT_EQ(error().m_code, error_code::unknown_service);
    auto info = make_info("reports");
    info.m_key.clear();
    arrive(info);
    EXPECT_EQ(error().m_code, error_code::missing_key);
    info = make_info("shop");
    info.m_timeout = seconds(601);
    arrive(info);
    EXPECT_EQ(error().m_code, error_code::bad_deadline);
    EXPECT_EQ(error().m_executed, executed::no);
    EXPECT_EQ(open_request_count(m_state), 0U);
}

// Guards against routing by a configuration that may be stale.
TEST_F(routing_requests, node_without_lease_refuses_all_new_work)
{
    set_lease_end(m_state, m_now);
    arrive(make_info("shop"));
    EXPECT_EQ(error().m_code, error_code::not_serving);
    EXPECT_EQ(error().m_executed, executed::no);
}

// Guards against requests that fail during a takeover, which takes up to 1 s.
TEST_F(routing_requests, entry_waits_for_a_new_owner)
{
    set_owner(slice_of("k1"), "b", 1);
    auto info = make_info("reports");
    info.m_idempotent = false;
    const auto token = arrive(info);
    finish_by_peer(token, 1, error_code::no_owner, executed::no);
    EXPECT_TRUE(all<answer_with_error>().empty());
    set_owner(slice_of("k1"), "c", 2);
    advance(milliseconds(20));
    ASSERT_EQ(all<forward_request>().size(), 1U);
    EXPECT_EQ(all<forward_request>()[0].m_to.m_node, "c");
}

// Guards against requests that wait indefinitely when no owner appears.
TEST_F(routing_requests, entry_stops_waiting_for_an_owner)
{
    arrive(make_info("reports"));
    advance(milliseconds(1400));
    EXPECT_TRUE(all<answer_with_error>().empty());
    advance(milliseconds(200));
    EXPECT_EQ(error().m_code, error_code::no_owner);
    EXPECT_EQ(error().m_executed, executed::no);
}

// Guards against an unproven "not executed" when the deadline passes after the request was sent.
TEST_F(routing_requests, deadline_after_the_send_is_unknown)
{
    set_owner(slice_of("k1"), "c", 2);
    auto info = make_info("reports");
    info.m_timeout = milliseconds(100);
    arrive(info);
    advance(milliseconds(120));
    EXPECT_EQ(error().m_executed, executed::unknown);
    EXPECT_EQ(all<cancel_attempt>().size(), 1U);
    EXPECT_EQ(open_request_count(m_state), 0U);
}

// Guards against a request whose deadline passes in the queue and is reported as possibly executed.
TEST_F(routing_requests, deadline_in_the_queue_is_not_executed)
{
    announce(false, "s1", "reports");
    serve(slice_of("k1"));
    arrive(make_info("reports"));
    auto info = make_info("reports");
    info.m_timeout = milliseconds(100);
    arrive(info);
    EXPECT_EQ(in_flight_request_count(m_state, slice_of("k1")), 2U);
    advance(milliseconds(120));
    EXPECT_EQ(error().m_code, error_code::deadline_in_queue);
    EXPECT_EQ(error().m_executed, executed::no);
    EXPECT_EQ(in_flight_request_count(m_state, slice_of("k1")), 1U);
}

} // namespace

} // namespace azureladder::core::testing
