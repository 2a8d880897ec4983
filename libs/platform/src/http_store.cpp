#include <azureladder/platform/http_store.hpp>

#include <azureladder/base/json.hpp>

namespace azureladder::platform {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

// JSON escaping expands each byte of a value to at most 6 characters. The rest is for the other
// fields.
constexpr std::size_t max_reply_bytes = 6 * max_value_bytes + 1'024;

std::string make_target(const std::string& key)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    constexpr std::string_view literal = "/-._~";
    std::string target = "/v1/kv/";
    for (const char c : key) {
        const auto byte = static_cast<unsigned char>(c);
        const bool alphanumeric =
            (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        if (alphanumeric || literal.find(c) != std::string_view::npos)
            target += c;
        else
            (target += '%').append({hex[byte >> 4U], hex[byte & 15U]});
    }
    return target;
}

std::optional<version> parse_version(const json& body)
{
    const auto found = body.is_object() ? body.find("version") : body.end();
    if (found == body.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<version>();
}

json parse(const std::string& body)
{
    return json::parse(body, nullptr, false);
}

store_error unavailable_error(std::string message)
{
    return {store_error_kind::unavailable, 0, std::move(message)};
}

store_error unknown_outcome_error(std::string message)
{
    return {store_error_kind::unknown, 0, std::move(message)};
}

std::string unexpected_response_text(int status)
{
    return "the store returned status " + std::to_string(status) +
           ", which is unexpected or has an invalid body";
}

result<std::optional<versioned_value>, store_error> read_result(const http::response& reply)
{
    if (reply.m_status == status_not_found)
        return std::optional<versioned_value>();
    const auto body = reply.m_status == status_ok ? parse(reply.m_body) : json();
    const auto number = parse_version(body);
    if (!number || !body.contains("value") || !body["value"].is_string())
        return unavailable_error(unexpected_response_text(reply.m_status));
    return std::optional(versioned_value{body["value"].get<std::string>(), *number});
}

result<version, store_error> write_result(const http::response& reply)
{
    const auto number = parse_version(parse(reply.m_body));
    switch (reply.m_status) {
    case status_ok:
        if (number)
            return *number;
        break;
    case status_conflict:
        if (number)
            return store_error{store_error_kind::conflict, *number,
                               "the key does not have the expected version"};
        break;
    case status_too_large:
        return store_error{store_error_kind::too_large, 0,
                           "the value exceeds the size limit of the store"};
    case status_too_many_requests:
    case status_unavailable:
        return unavailable_error("the store refused the call with status " +
                                 std::to_string(reply.m_status));
    default:
        break;
    }
    return unknown_outcome_error(unexpected_response_text(reply.m_status));
}

http::client_options make_client_options(const http_store_options& options)
{
    http::client_options client;
    client.m_max_connections = options.m_max_connections;
    client.m_max_idle_connections = options.m_max_connections;
    client.m_max_body_bytes = max_reply_bytes;
    return client;
}

} // namespace

http_store::http_store(const http_store_options& options)
    : m_options(options), m_client(options.m_server, make_client_options(options))
{
}

result<http::response, http::client_error> http_store::get(const std::string& key,
                                                           version known_version)
{
    http::execute_options execute;
    execute.m_timeout = m_options.m_read_timeout;
    http::request message{"GET", make_target(key), {}, {}, {}};
    if (known_version != 0)
        message.m_headers = {{"If-None-Match", '"' + std::to_string(known_version) + '"'}};
    auto reply = m_client.execute(message, execute);
    if (reply || reply.error().m_kind != http::client_error_kind::lost)
        return reply;
    // The store may close an idle connection while a request is sent on it. Reads are idempotent,
    // so they are retried once on a new connection.
    execute.m_connection = http::connection_use::fresh;
    return m_client.execute(message, execute);
}

result<std::optional<versioned_value>, store_error> http_store::read(const std::string& key)
{
    const auto reply = get(key, 0);
    if (!reply)
        return unavailable_error(reply.error().m_message);
    return read_result(reply.value());
}

result<conditional_read_result, store_error> http_store::read_if_changed(const std::string& key,
                                                                         version known_version)
{
    const auto reply = get(key, known_version);
    if (!reply)
        return unavailable_error(reply.error().m_message);
    if (reply.value().m_status == status_not_modified && known_version != 0)
        return conditional_read_result{true, std::nullopt};
    auto outcome = read_result(reply.value());
    if (!outcome)
        return outcome.error();
    return conditional_read_result{false, std::move(outcome.value())};
}

result<version, store_error> http_store::write(const std::string& key, const std::string& value,
                                               version expected_version)
{
    http::execute_options execute;
    execute.m_timeout = m_options.m_write_timeout;
    execute.m_connection = http::connection_use::fresh;
    http::request message;
    message.m_method = "PUT";
    message.m_target = make_target(key) + "?version=" + std::to_string(expected_version);
    message.m_headers = {{"Content-Type", "application/octet-stream"}};
    message.m_body = value;
    const auto reply = m_client.execute(message, execute);
    if (reply)
        return write_result(reply.value());
    if (http::nothing_was_sent(reply.error().m_kind))
        return unavailable_error(reply.error().m_message);
    return unknown_outcome_error(reply.error().m_message);
}

} // namespace azureladder::platform
