#include "prometheus_writer.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace azureladder::telemetry {

std::string format_number(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    char buffer[32];
    const auto written = std::to_chars(buffer, buffer + sizeof buffer, value);
    return {buffer, written.ptr};
}

std::string escape_label(std::string_view value)
{
    std::string result;
    result.reserve(value.size());
    for (const char character : value) {
        if (character == '\\')
            result += "\\\\";
        else if (character == '"')
            result += "\\\"";
        else if (character == '\n')
            result += "\\n";
        else
            result += character;
    }
    return result;
}

std::string format_labels(const metric_labels& labels)
{
    if (labels.empty())
        return {};
    std::string result;
    for (const auto& [name, value] : labels) {
        result += result.empty() ? '{' : ',';
        result.append(name).append("=\"").append(escape_label(value)).append("\"");
    }
    return result + '}';
}

void write_type(std::string& output, std::string_view name, std::string_view type)
{
    output.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void write_sample(std::string& output, std::string_view name, std::string_view labels,
                  std::string_view value)
{
    output.append(name).append(labels).append(" ").append(value).append("\n");
}

bool is_metric_name(std::string_view name)
{
    const auto is_allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '_';
    };
    const bool starts_with_digit = !name.empty() && name[0] >= '0' && name[0] <= '9';
    return !name.empty() && !starts_with_digit && std::all_of(name.begin(), name.end(), is_allowed);
}

} // namespace azureladder::telemetry
