#include <azureladder/settings/load_settings.hpp>

#include "section_parsers.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace azureladder::settings {

namespace {

void parse_section(object_reader& reader, const char* name,
                   void (*parse)(object_reader&, node_settings&), node_settings& settings,
                   presence need = presence::optional)
{
    if (const json* section = reader.read_object(name, need)) {
        object_reader section_reader(*section, name, reader.errors());
        parse(section_reader, settings);
        section_reader.reject_unknown_fields();
    }
}

node_settings parse_fields(const json& text, std::vector<field_error>& errors)
{
    node_settings settings;
    object_reader reader(text, "", errors);
    reader.read_string("node", name_rule(), settings.m_node, presence::required);
    reader.read_string("availability_zone", name_rule(), settings.m_zone, presence::required);
    parse_section(reader, "http", parse_http, settings);
    parse_section(reader, "peer", parse_peer, settings);
    parse_section(reader, "store", parse_store, settings, presence::required);
    parse_section(reader, "log", parse_log, settings);
    parse_section(reader, "cluster", parse_cluster, settings);
    parse_section(reader, "timing", parse_timing, settings);
    parse_section(reader, "limits", parse_limits, settings);
    std::uint64_t seed = 0;
    if (reader.read_integer("seed", 0, INT64_MAX, seed))
        settings.m_seed = seed;
    reader.reject_unknown_fields();
    return settings;
}

} // namespace

std::string to_string(const settings_error& error)
{
    std::string text;
    for (const auto& field : error.m_fields) {
        if (!text.empty())
            text += "\n";
        text += error.m_file + ": ";
        if (!field.m_path.empty())
            text += field.m_path + ": ";
        text += field.m_message;
    }
    return text;
}

result<node_settings, settings_error> load_settings(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return settings_error{path, {{"", "cannot be opened: " + std::string(strerror(errno))}}};
    std::string text;
    char buffer[4096];
    while (file.read(buffer, sizeof buffer) || file.gcount() > 0)
        text.append(buffer, static_cast<std::size_t>(file.gcount()));
    if (file.bad())
        return settings_error{path, {{"", "cannot be read"}}};
    return parse_settings(text, path);
}

result<node_settings, settings_error> parse_settings(const std::string& text,
                                                     const std::string& file)
{
    std::vector<field_error> errors;
    const json parsed = parse_json_text(text, true, errors);
    node_settings settings;
    if (errors.empty())
        settings = parse_fields(parsed, errors);
    if (errors.empty())
        check_cross_field_rules(settings, errors);
    if (!errors.empty())
        return settings_error{file, std::move(errors)};
    return settings;
}

} // namespace azureladder::settings
