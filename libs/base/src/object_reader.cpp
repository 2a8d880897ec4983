#include <azureladder/base/object_reader.hpp>

#include <websocketpp/utf8_validator.hpp>

#include <algorithm>

namespace azureladder {

namespace {

/// Maximum length of a JSON value in an error message, in bytes.
constexpr std::size_t max_excerpt_bytes = 40;

std::string excerpt(const json& value)
{
    if (value.is_structured())
        return value.is_array() ? "an array" : "an object";
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_excerpt_bytes)
        text = text.substr(0, max_excerpt_bytes) + "...";
    return text;
}

/// Removes the exception id in brackets at the start of messages of nlohmann-json.
std::string remove_exception_id(const std::string& message)
{
    const auto end = message.find("] ");
    return end == std::string::npos ? message : message.substr(end + 2);
}

/// Maximum nesting depth of JSON text. Copying a JSON value is recursive, so deeply nested input
/// could exhaust the stack.
constexpr int max_nesting_depth = 32;

/// Detects duplicate fields and excessive nesting during parsing: nlohmann-json silently keeps the
/// last of two fields with the same name, and accepts any depth.
class parse_validator
{
public:
    /// Callback of the parser. Returns false to discard the value.
    bool on_parse_event(int depth, json::parse_event_t event, const json& parsed)
    {
        using event_type = json::parse_event_t;
        m_too_deep = m_too_deep || depth > max_nesting_depth;
        if (m_too_deep)
            return false;
        if (event == event_type::object_start) {
            m_open_objects.emplace_back();
        } else if (event == event_type::object_end) {
            m_open_objects.pop_back();
        } else if (event == event_type::key) {
            if (!m_open_objects.back().insert(parsed.get<std::string>()).second)
                m_duplicates.insert(parsed.get<std::string>());
        }
        return true;
    }

    void report(std::vector<field_error>& errors) const
    {
        if (m_too_deep)
            errors.push_back(
                {"", "nested deeper than " + std::to_string(max_nesting_depth) + " levels"});
        for (const auto& name : m_duplicates)
            errors.push_back({name, "duplicate field in one object"});
    }

private:
    bool m_too_deep = false;
    /// Field names of the objects that the parser has not finished, outermost first.
    std::vector<std::set<std::string>> m_open_objects;
    std::set<std::string> m_duplicates;
};

} // namespace

bool is_utf8(const std::string& text)
{
    return websocketpp::utf8_validator::validate(text);
}

bool is_printable_utf8(const std::string& text, std::size_t max_bytes)
{
    if (text.size() > max_bytes)
        return false;
    const auto is_control = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
    if (std::any_of(text.begin(), text.end(), is_control))
        return false;
    return is_utf8(text);
}

object_reader::object_reader(const json& object, std::string path, std::vector<field_error>& errors)
    : m_object(object), m_path(std::move(path)), m_errors(errors)
{
    if (!object.is_object())
        add_value_error(m_path, "an object", object);
}

std::string object_reader::path_of(const std::string& name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

void object_reader::fail(const std::string& name, const std::string& message)
{
    m_errors.push_back({path_of(name), message});
}

bool object_reader::add_value_error(const std::string& path, const std::string& expected,
                                    const json& found)
{
    m_errors.push_back({path, "expected " + expected + ", found " + excerpt(found)});
    return false;
}

const json* object_reader::find(const std::string& name, const std::string& expected, presence need)
{
    m_known_fields.insert(name);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    if (need == presence::required)
        fail(name, "missing; expected " + expected);
    return nullptr;
}

bool object_reader::read_boolean(const std::string& name, bool& value, presence need)
{
    const json* field = find(name, "true or false", need);
    if (field == nullptr)
        return false;
    if (!field->is_boolean())
        return add_value_error(path_of(name), "true or false", *field);
    value = field->get<bool>();
    return true;
}

bool object_reader::read_number(const std::string& name, std::int64_t min, std::int64_t max,
                                std::int64_t& value, presence need)
{
    const std::string expected =
        "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const json* field = find(name, expected, need);
    if (field == nullptr)
        return false;
    if (!field->is_number_integer())
        return add_value_error(path_of(name), expected, *field);
    // The conversion makes unsigned values above the signed range negative.
    const bool too_large = field->is_number_unsigned() && field->get<std::uint64_t>() > INT64_MAX;
    const auto number = field->get<std::int64_t>();
    if (too_large || number < min || number > max)
        return add_value_error(path_of(name), expected, *field);
    value = number;
    return true;
}

bool object_reader::read_string(const std::string& name, const string_constraint& rule,
                                std::string& value, presence need)
{
    const json* field = find(name, rule.m_expected, need);
    if (field == nullptr)
        return false;
    if (!field->is_string() || !rule.m_is_valid(field->get_ref<const std::string&>()))
        return add_value_error(path_of(name), rule.m_expected, *field);
    value = field->get<std::string>();
    return true;
}

bool object_reader::read_string_list(const std::string& name, const string_constraint& rule,
                                     std::vector<std::string>& values, presence need)
{
    const json* field = read_array(name, need);
    if (field == nullptr)
        return false;
    const std::size_t errors_before = m_errors.size();
    std::vector<std::string> read;
    std::set<std::string> seen;
    for (std::size_t i = 0; i < field->size(); ++i) {
        const json& item = (*field)[i];
        const std::string item_path = path_of(name) + "[" + std::to_string(i) + "]";
        if (!item.is_string() || !rule.m_is_valid(item.get_ref<const std::string&>()))
            add_value_error(item_path, rule.m_expected, item);
        else if (!seen.insert(item.get<std::string>()).second)
            m_errors.push_back({item_path, "duplicate item in the list"});
        else
            read.push_back(item.get<std::string>());
    }
    if (m_errors.size() != errors_before)
        return false;
    values = std::move(read);
    return true;
}

const json* object_reader::read_object(const std::string& name, presence need)
{
    const json* field = find(name, "an object", need);
    if (field != nullptr && !field->is_object()) {
        add_value_error(path_of(name), "an object", *field);
        return nullptr;
    }
    return field;
}

const json* object_reader::read_array(const std::string& name, presence need)
{
    const json* field = find(name, "an array", need);
    if (field != nullptr && !field->is_array()) {
        add_value_error(path_of(name), "an array", *field);
        return nullptr;
    }
    return field;
}

void object_reader::reject_unknown_fields()
{
    if (!m_object.is_object())
        return;
    std::string known;
    for (const auto& name : m_known_fields)
        known += known.empty() ? name : ", " + name;
    for (const auto& item : m_object.items()) {
        if (m_known_fields.count(item.key()) == 0)
            fail(item.key(), "unknown field; expected one of: " + known);
    }
}

json parse_json_text(const std::string& text, bool comments, std::vector<field_error>& errors)
{
    parse_validator validator;
    const auto callback = [&](int depth, json::parse_event_t event, json& parsed) {
        return validator.on_parse_event(depth, event, parsed);
    };
    const std::size_t errors_before = errors.size();
    json value;
    try {
        value = json::parse(text, callback, true, comments);
        validator.report(errors);
    } catch (const json::exception& error) {
        errors.push_back({"", "not valid JSON: " + remove_exception_id(error.what())});
    }
    return errors.size() == errors_before ? value : json(json::value_t::discarded);
}

} // namespace azureladder
