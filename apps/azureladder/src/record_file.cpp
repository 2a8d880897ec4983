#include "record_file.hpp"

#include <azureladder/base/object_reader.hpp>
#include <azureladder/records/document.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>

namespace azureladder::cli {

namespace {

result<std::string, file_error> read_text(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return file_error{path + ": cannot be opened: " + strerror(errno)};
    std::string text;
    char buffer[4096];
    while (file.read(buffer, sizeof buffer) || file.gcount() > 0)
        text.append(buffer, static_cast<std::size_t>(file.gcount()));
    if (file.bad())
        return file_error{path + ": reading the file failed"};
    return text;
}

std::string format_file_error(const std::string& path, const std::string& field,
                              const std::string& message)
{
    return path + ": " + (field.empty() ? "" : field + ": ") + message;
}

} // namespace

result<json, file_error> read_record_file(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, read_text(path));
    std::vector<field_error> errors;
    json records = parse_json_text(text, true, errors);
    if (!errors.empty())
        return file_error{format_file_error(path, errors.front().m_path, errors.front().m_message)};
    if (records.is_object()) {
        json array = json::array();
        array.push_back(std::move(records));
        records = std::move(array);
    }
    if (const auto error = records::validate_records(records))
        return file_error{format_file_error(path, error->m_path, error->m_message)};
    return records;
}

} // namespace azureladder::cli
