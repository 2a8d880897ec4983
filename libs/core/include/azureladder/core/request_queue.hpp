#pragma once

#include <azureladder/base/request_class.hpp>
#include <azureladder/core/request_info.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

/// Requests that wait for a slot of the backend server beside the node.
namespace azureladder::core {

/// One first-in-first-out line for each class.
struct request_queue
{
    static constexpr std::size_t class_count = 3;
    std::array<std::deque<request_token>, class_count> m_lines;

    /// Dispatches since the lowest waiting class had its turn.
    std::uint32_t m_since_lowest = 0;
};

/// One of this many dispatches is for the lowest waiting class, so that batch work arrives.
inline constexpr std::uint32_t lowest_class_period = 10;

std::size_t queue_length(const request_queue& queue);

/// Waiting requests in the order of their classes.
std::vector<request_token> queued_tokens(const request_queue& queue);

void push_request(request_queue& queue, request_class priority, request_token token);

/// Request to dispatch next; the queue must not be empty.
request_token pop_request(request_queue& queue);

/// Removes a request from the queue if it is there.
void remove_request(request_queue& queue, request_token token);

/// Newest waiting request of the lowest class below `priority`, which is shed to make room.
std::optional<request_token> request_to_shed(const request_queue& queue, request_class priority);

} // namespace azureladder::core
