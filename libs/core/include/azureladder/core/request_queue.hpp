#pragma once

#include <azureladder/base/request_class.hpp>
#include <azureladder/core/request_info.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

/// Requests that wait for a slot of the local backend server.
namespace azureladder::core {

/// One FIFO queue for each class.
struct request_queue
{
    static constexpr std::size_t class_count = 3;
    std::array<std::deque<request_token>, class_count> m_queues;

    /// Dispatches since the last one for the lowest waiting class.
    std::uint32_t m_dispatches_since_lowest = 0;
};

/// One of this many dispatches is for the lowest waiting class, so that batch requests are not
/// starved.
inline constexpr std::uint32_t lowest_class_interval = 10;

std::size_t queue_length(const request_queue& queue);

/// Waiting requests, highest class first.
std::vector<request_token> queued_tokens(const request_queue& queue);

void push_request(request_queue& queue, request_class priority, request_token token);

/// Removes and returns the request to dispatch next. The queue must not be empty.
request_token pop_request(request_queue& queue);

/// Removes a request from the queue if it is there.
void remove_request(request_queue& queue, request_token token);

/// Request to shed for a new one of class `priority`: the newest of the lowest waiting class below
/// it; unset when there is none.
std::optional<request_token> request_to_shed(const request_queue& queue, request_class priority);

} // namespace azureladder::core
