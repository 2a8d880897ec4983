#include <azureladder/sidecar/departed_servers.hpp>

namespace azureladder::sidecar {

bool merge(departed_servers& servers, const departed_servers& other)
{
    bool changed = false;
    for (const auto& [id, started_at_ms] : other) {
        const auto [entry, is_new] = servers.emplace(id, started_at_ms);
        if (!is_new && entry->second >= started_at_ms)
            continue;
        entry->second = started_at_ms;
        changed = true;
    }
    return changed;
}

std::string to_text(const departed_servers& servers)
{
    return dump_json(json(servers));
}

std::optional<departed_servers> parse_departed_servers(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    departed_servers servers;
    for (const auto& [id, started_at] : parsed.items()) {
        if (!started_at.is_number_integer())
            return std::nullopt;
        servers[id] = started_at.get<std::int64_t>();
    }
    return servers;
}

} // namespace azureladder::sidecar
