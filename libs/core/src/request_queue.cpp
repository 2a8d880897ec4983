#include <azureladder/core/request_queue.hpp>

#include <azureladder/base/precondition.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

request_token take_front(std::deque<request_token>& line)
{
    const auto token = line.front();
    line.pop_front();
    return token;
}

} // namespace

std::size_t queue_length(const request_queue& queue)
{
    std::size_t length = 0;
    for (const auto& line : queue.m_lines)
        length += line.size();
    return length;
}

std::vector<request_token> queued_tokens(const request_queue& queue)
{
    std::vector<request_token> tokens;
    for (const auto& line : queue.m_lines)
        tokens.insert(tokens.end(), line.begin(), line.end());
    return tokens;
}

void push_request(request_queue& queue, request_class priority, request_token token)
{
    queue.m_lines[static_cast<std::size_t>(priority)].push_back(token);
}

request_token pop_request(request_queue& queue)
{
    AZURELADDER_PRECONDITION(queue_length(queue) > 0, "the queue must not be empty");
    const auto waiting = [](const auto& line) { return !line.empty(); };
    const bool lowest_turn = queue.m_since_lowest + 1 >= lowest_class_period;
    queue.m_since_lowest = lowest_turn ? 0 : queue.m_since_lowest + 1;
    if (lowest_turn)
        return take_front(*std::find_if(queue.m_lines.rbegin(), queue.m_lines.rend(), waiting));
    return take_front(*std::find_if(queue.m_lines.begin(), queue.m_lines.end(), waiting));
}

void remove_request(request_queue& queue, request_token token)
{
    for (auto& line : queue.m_lines)
        line.erase(std::remove(line.begin(), line.end(), token), line.end());
}

std::optional<request_token> request_to_shed(const request_queue& queue, request_class priority)
{
    for (auto index = queue.m_lines.size() - 1; index > static_cast<std::size_t>(priority);
         --index) {
        if (!queue.m_lines[index].empty())
            return queue.m_lines[index].back();
    }
    return std::nullopt;
}

} // namespace azureladder::core
