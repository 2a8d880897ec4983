#include <azureladder/sidecar/departed_lives.hpp>

namespace azureladder::sidecar {

bool merge(departed_lives& lives, const departed_lives& other)
{
    bool changed = false;
    for (const auto& [id, born_ms] : other) {
        const auto [entry, is_new] = lives.emplace(id, born_ms);
        if (!is_new && entry->second >= born_ms)
            continue;
        entry->second = born_ms;
        changed = true;
    }
    return changed;
}

std::string to_text(const departed_lives& lives)
{
    return json(lives).dump();
}

std::optional<departed_lives> parse_departed_lives(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    departed_lives lives;
    for (const auto& [id, born] : parsed.items()) {
        if (!born.is_number_integer())
            return std::nullopt;
        lives[id] = born.get<std::int64_t>();
    }
    return lives;
}

} // namespace azureladder::sidecar
