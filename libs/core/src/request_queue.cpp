#include <azureladder/core/request_queue.hpp>

#include <azureladder/base/precondition.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

request_token pop_first(std::deque<request_token>& class_queue)
{
    const auto token = class_queue.front();
    class_queue.pop_front();
    return token;
}

} // namespace

std::size_t queue_length(const request_queue& queue)
{
    std::size_t length = 0;
    for (const auto& class_queue : queue.m_queues)
        length += class_queue.size();
    return length;
}

std::vector<request_token> queued_tokens(const request_queue& queue)
{
    std::vector<request_token> tokens;
    for (const auto& class_queue : queue.m_queues)
        tokens.insert(tokens.end(), class_queue.begin(), class_queue.end());
    return tokens;
}

void push_request(request_queue& queue, request_class priority, request_token token)
{
    queue.m_queues[static_cast<std::size_t>(priority)].push_back(token);
}

request_token pop_request(request_queue& queue)
{
    AZURELADDER_PRECONDITION(queue_length(queue) > 0, "the queue must not be empty");
    const auto waiting = [](const auto& class_queue) { return !class_queue.empty(); };
    const bool lowest_turn = queue.m_dispatches_since_lowest + 1 >= lowest_class_interval;
    queue.m_dispatches_since_lowest = lowest_turn ? 0 : queue.m_dispatches_since_lowest + 1;
    if (lowest_turn)
        return pop_first(*std::find_if(queue.m_queues.rbegin(), queue.m_queues.rend(), waiting));
    return pop_first(*std::find_if(queue.m_queues.begin(), queue.m_queues.end(), waiting));
}

void remove_request(request_queue& queue, request_token token)
{
    for (auto& class_queue : queue.m_queues)
        class_queue.erase(std::remove(class_queue.begin(), class_queue.end(), token),
                          class_queue.end());
}

std::optional<request_token> request_to_shed(const request_queue& queue, request_class priority)
{
    for (auto index = queue.m_queues.size() - 1; index > static_cast<std::size_t>(priority);
         --index) {
        if (!queue.m_queues[index].empty())
            return queue.m_queues[index].back();
    }
    return std::nullopt;
}

} // namespace azureladder::core
