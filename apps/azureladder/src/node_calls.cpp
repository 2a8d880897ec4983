#include "node_calls.hpp"

#include <algorithm>

namespace azureladder::cli {

namespace {

constexpr int http_ok = 200;
constexpr int http_not_found = 404;

/// Maximum number of nodes listed in a progress line.
constexpr std::size_t max_listed_nodes = 8;

std::string text_field(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t number_field(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

result<std::string, call_failure> get_body(node_client& client, const std::string& target)
{
    const auto response = client.call("GET", target, "");
    if (!response)
        return call_failure{0, response.error().m_message};
    if (response.value().m_status != http_ok)
        return make_call_failure(response.value());
    return response.value().m_body;
}

result<change_progress, call_failure> find_change_in_configuration(node_client& client,
                                                                   const std::string& apply_id,
                                                                   const call_failure& not_found)
{
    BOOST_OUTCOME_TRY(document, get_configuration(client));
    if (!records::has_apply_id(document, apply_id))
        return not_found;
    change_progress progress;
    progress.m_state = "written";
    progress.m_revision = document.m_revision;
    progress.m_message = "the queried node has the change in its configuration, but does not "
                         "track whether every node has it";
    return progress;
}

} // namespace

exit_code exit_code_for(const call_failure& failure)
{
    const bool refused = failure.m_status >= 400 && failure.m_status < 500;
    return refused ? exit_code::check_failed : exit_code::unreachable;
}

std::string url_encode(std::string_view text)
{
    static const char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool alphanumeric =
            (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (alphanumeric || c == '-' || c == '.' || c == '_' || c == '~') {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4];
            encoded += digits[byte & 15];
        }
    }
    return encoded;
}

call_failure make_call_failure(const node_response& response)
{
    const json body = json::parse(response.m_body, nullptr, false);
    std::string message = "status " + std::to_string(response.m_status);
    if (body.is_object()) {
        const std::string error = text_field(body, "error");
        const std::string text = text_field(body, "message");
        if (!error.empty())
            message = text.empty() ? error : error + ": " + text;
    }
    return {response.m_status, message};
}

result<json, call_failure> get_json(node_client& client, const std::string& target)
{
    BOOST_OUTCOME_TRY(body, get_body(client, target));
    json value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return call_failure{0, "the response to " + target + " is not a JSON object"};
    return value;
}

result<records::document, call_failure> get_configuration(node_client& client)
{
    BOOST_OUTCOME_TRY(body, get_body(client, "/_azureladder/v1/operator/configuration"));
    auto document = records::parse_document(body);
    if (!document)
        return call_failure{0, "the configuration of the node cannot be parsed: " +
                                   document.error().m_path + ": " + document.error().m_message};
    return std::move(document).value();
}

bool is_final(const change_progress& progress)
{
    return progress.m_state == "accepted" || progress.m_state == "rejected" ||
           progress.m_state == "unknown";
}

std::string format_progress(const change_progress& progress)
{
    std::string line = progress.m_state;
    if (progress.m_state == "spreading") {
        line += ": " + std::to_string(progress.m_acknowledged) + " of " +
                std::to_string(progress.m_total) + " nodes acknowledged";
        const std::size_t listed = std::min(progress.m_missing.size(), max_listed_nodes);
        for (std::size_t i = 0; i < listed; ++i)
            line += (i == 0 ? "; waiting for " : ", ") + progress.m_missing[i];
        if (listed < progress.m_missing.size())
            line += " and " + std::to_string(progress.m_missing.size() - listed) + " more";
    }
    if (progress.m_state == "accepted" || progress.m_state == "written")
        line += ": revision " + std::to_string(progress.m_revision);
    if (!progress.m_message.empty())
        line += ": " + progress.m_message;
    return line;
}

json to_json(const change_progress& progress)
{
    return {{"state", progress.m_state},
            {"revision", progress.m_revision},
            {"acknowledged", progress.m_acknowledged},
            {"total", progress.m_total},
            {"missing", progress.m_missing},
            {"message", progress.m_message}};
}

result<change_progress, call_failure> get_change(node_client& client, const std::string& apply_id)
{
    auto response = get_json(client, "/_azureladder/v1/operator/changes/" + url_encode(apply_id));
    if (!response && response.error().m_status == http_not_found)
        return find_change_in_configuration(client, apply_id, response.error());
    if (!response)
        return response.error();
    const json& body = response.value();
    change_progress progress;
    progress.m_state = text_field(body, "state");
    if (progress.m_state.empty())
        return call_failure{0, "the response lacks the state of the change"};
    progress.m_revision = number_field(body, "revision");
    progress.m_acknowledged = number_field(body, "acknowledged");
    progress.m_total = number_field(body, "total");
    progress.m_message = text_field(body, "message");
    const auto missing = body.find("missing");
    if (missing != body.end() && missing->is_array()) {
        for (const auto& node : *missing) {
            if (node.is_string())
                progress.m_missing.push_back(node.get<std::string>());
        }
    }
    return progress;
}

} // namespace azureladder::cli
