#include "frame_queue.hpp"
#include "piece_reader.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace azureladder::sidecar_runtime {

namespace {

sidecar::document_frame make_document(std::size_t bytes)
{
    sidecar::document_frame frame;
    frame.m_name = "keys/orders";
    frame.m_text = std::string(bytes, 'x');
    return frame;
}

sidecar::request_frame make_request(std::uint64_t id, std::size_t body_bytes = 100)
{
    auto request = std::make_shared<sidecar::forwarded_request>();
    request->m_body = std::string(body_bytes, 'b');
    sidecar::request_frame frame;
    frame.m_id = id;
    frame.m_request = std::move(request);
    return frame;
}

/// A link that all connections of a node share. Sends writes one after the other.
struct simulated_link
{
    double m_bytes_per_s = 10e6 / 8;
    time_point m_free_at{seconds(1000)};

    /// Time at which the last byte of a write that is taken at `now` has left.
    time_point send(std::size_t bytes, time_point now)
    {
        const duration transfer = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / m_bytes_per_s));
        m_free_at = std::max(m_free_at, now) + transfer;
        return m_free_at;
    }
};

/// Kinds of the frames that a write completes, with the times at which they have left the link.
std::map<std::string_view, time_point> send_next(frame_queue& queue, bulk_pacer& pacer,
                                                 simulated_link& link, time_point now)
{
    const frame_write write = take_write(queue, pacer, now);
    const time_point sent_at = link.send(write.m_bytes.size(), now);
    std::map<std::string_view, time_point> result;
    for (const auto& frame : write.m_completed)
        result[sidecar::frame_kind_names[frame.m_kind]] = sent_at;
    return result;
}

} // namespace

// Guards against requests, cancels and pings that wait behind a range table on a slow link: callers
// saw requests executed half a second after they had disconnected.
TEST(frame_queue, request_and_cancel_do_not_wait_behind_a_table_on_a_slow_link)
{
    frame_queue queue;
    bulk_pacer pacer;
    simulated_link link;
    time_point now = link.m_free_at;
    push_frame(queue, make_document(1024U * 1024), now);
    send_next(queue, pacer, link, now);
    now += milliseconds(5);
    push_frame(queue, make_request(1), now);
    push_frame(queue, sidecar::cancel_frame{7}, now);
    push_frame(queue, sidecar::ping_frame{1}, now);
    std::map<std::string_view, time_point> sent;
    for (time_point next = link.m_free_at; queue.m_bytes > 0; next = link.m_free_at)
        sent.merge(send_next(queue, pacer, link, next));
    for (const char* kind : {"request", "cancel", "ping"}) {
        ASSERT_EQ(sent.count(kind), 1U) << kind;
        EXPECT_LT(sent[kind] - now, duration(milliseconds(50))) << kind;
    }
    EXPECT_GT(sent["document"] - now, duration(milliseconds(500)));
}

// Guards against documents for many peers that fill the common link of all connections.
TEST(frame_queue, tables_for_many_peers_leave_room_for_requests_of_other_connections)
{
    std::vector<frame_queue> queues(64);
    bulk_pacer pacer = make_bulk_pacer(10.0);
    simulated_link link;
    const time_point start = link.m_free_at;
    for (auto& queue : queues)
        push_frame(queue, make_document(30U * 1024), start);
    frame_queue other;
    duration longest{};
    std::size_t left = queues.size();
    for (time_point now = start; left > 0; now += milliseconds(25)) {
        for (auto& queue : queues) {
            while (queue.m_bytes > 0 && !send_next(queue, pacer, link, now).empty())
                left -= queue.m_bytes == 0 ? 1 : 0;
        }
        left = 0;
        for (const auto& queue : queues)
            left += queue.m_bytes > 0 ? 1 : 0;
        push_frame(other, make_request(1), now);
        longest = std::max(longest, send_next(other, pacer, link, now).at("request") - now);
        ASSERT_LT(now - start, seconds(10));
    }
    EXPECT_LT(longest, duration(milliseconds(50)));
}

// Guards against memory and traffic that grow with the requests for a document while the link is
// slower than the peer's patience.
TEST(frame_queue, document_that_is_requested_again_is_queued_once)
{
    frame_queue queue;
    bulk_pacer pacer;
    for (int i = 0; i < 10; ++i)
        push_frame(queue, make_document(30U * 1024 + static_cast<std::size_t>(i)), {});
    EXPECT_LT(queue.m_bytes, 31U * 1024);
    take_write(queue, pacer, {});
    // The first one is partly taken, so one more is queued behind it.
    for (int i = 0; i < 10; ++i)
        push_frame(queue, make_document(30U * 1024), {});
    EXPECT_LT(queue.m_bytes, 61U * 1024);
    std::size_t documents = 0;
    while (queue.m_bytes > 0)
        documents += take_write(queue, pacer, {}).m_completed.size();
    EXPECT_EQ(documents, 2U);
}

// Guards against a whole table that never arrives because newer changes replace it in the queue.
TEST(frame_queue, changes_do_not_replace_a_whole_document)
{
    frame_queue queue;
    bulk_pacer pacer;
    push_frame(queue, make_document(30U * 1024), {});
    sidecar::document_frame changes = make_document(100);
    changes.m_base_revision = 7;
    push_frame(queue, changes, {});
    EXPECT_GT(queue.m_bytes, 30U * 1024);
    push_frame(queue, make_document(20U * 1024), {});
    EXPECT_LT(queue.m_bytes, 21U * 1024);
}

// Guards against documents that never arrive under permanent load.
TEST(frame_queue, bulk_data_is_sent_beside_permanent_load)
{
    frame_queue queue;
    bulk_pacer pacer;
    const time_point now{seconds(1000)};
    push_frame(queue, make_document(100U * 1024), now);
    bool is_sent = false;
    for (std::uint64_t i = 0; i < 2000 && !is_sent; ++i) {
        push_frame(queue, make_request(i, 10U * 1024), now);
        for (const auto& frame : take_write(queue, pacer, now).m_completed)
            is_sent |= sidecar::frame_kind_names[frame.m_kind] == "document";
    }
    EXPECT_TRUE(is_sent);
}

TEST(frame_queue, request_that_is_partly_sent_is_not_removed)
{
    frame_queue queue;
    bulk_pacer pacer;
    push_frame(queue, make_request(1, 100U * 1024), {});
    push_frame(queue, make_request(2, 100U * 1024), {});
    take_write(queue, pacer, {});
    EXPECT_FALSE(remove_queued_request(queue, 1));
    EXPECT_TRUE(remove_queued_request(queue, 2));
    EXPECT_FALSE(remove_queued_request(queue, 2));
    while (queue.m_bytes > 0)
        take_write(queue, pacer, {});
}

// Guards against frames that are damaged or lost where reads end within a piece.
TEST(piece_reader, restores_all_frames_from_reads_of_any_size)
{
    std::mt19937 random(5);
    for (int round = 0; round < 20; ++round) {
        frame_queue queue;
        bulk_pacer pacer;
        std::string bytes;
        for (std::uint64_t i = 0; i < 30; ++i) {
            push_frame(queue, make_request(i, random() % 40000), {});
            push_frame(queue, sidecar::cancel_frame{i}, {});
            if (random() % 4 == 0)
                bytes += take_write(queue, pacer, {}).m_bytes;
        }
        while (queue.m_bytes > 0)
            bytes += take_write(queue, pacer, {}).m_bytes;
        piece_reader reader;
        std::set<std::uint64_t> requests;
        std::vector<std::uint64_t> cancels;
        for (std::size_t offset = 0; offset < bytes.size();) {
            const std::size_t size =
                std::min<std::size_t>(1 + random() % 5000, bytes.size() - offset);
            const auto on_frame = [&](const sidecar::peer_frame& frame) {
                if (const auto* request = std::get_if<sidecar::request_frame>(&frame))
                    requests.insert(request->m_id);
                else
                    cancels.push_back(std::get<sidecar::cancel_frame>(frame).m_id);
                return true;
            };
            ASSERT_TRUE(
                read_pieces(reader, std::string_view(bytes).substr(offset, size), on_frame));
            offset += size;
        }
        EXPECT_EQ(requests.size(), 30U);
        ASSERT_EQ(cancels.size(), 30U);
        EXPECT_TRUE(std::is_sorted(cancels.begin(), cancels.end()));
    }
}

TEST(piece_reader, rejects_invalid_heads)
{
    const auto ignore = [](const sidecar::peer_frame&) { return true; };
    for (const std::string& bytes :
         {std::string("\x03\x00\x00\x01x", 5), std::string("\x00\x00\x00\x00", 4),
          std::string("\x00\xff\xff\xff", 4)}) {
        piece_reader reader;
        EXPECT_FALSE(read_pieces(reader, bytes, ignore));
    }
}

} // namespace azureladder::sidecar_runtime
