#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace azureladder {

/// A field of a JSON text that is missing, unknown, of the wrong type or out of range.
struct field_error
{
    /// Path to the field, for example "records[2].slices".
    std::string m_path;

    /// What was expected and what was found.
    std::string m_message;
};

enum class presence
{
    optional,
    required
};

/// Constraint on the value of a string field.
struct string_constraint
{
    /// Text after "expected" in error messages, for example "a name of 1 to 64 characters".
    std::string m_expected;

    bool (*m_is_valid)(const std::string& text);
};

/// Whether `text` is valid UTF-8.
bool is_utf8(const std::string& text);

/// Whether `text` is valid UTF-8 without control characters and has at most `max_bytes`.
bool is_printable_utf8(const std::string& text, std::size_t max_bytes);

/// Reads the fields of one JSON object and adds an error for each invalid, missing or unknown
/// field. The read functions leave the output unchanged and return false when the field is absent
/// or invalid.
class object_reader
{
public:
    /// `object` and `errors` must outlive the reader. A value that is not an object is an error.
    object_reader(const json& object, std::string path, std::vector<field_error>& errors);

    bool read_boolean(const std::string& name, bool& value, presence need = presence::optional);

    /// Integer from `min` to `max`, both included.
    template <class Integer>
    bool read_integer(const std::string& name, std::int64_t min, std::int64_t max, Integer& value,
                      presence need = presence::optional)
    {
        std::int64_t number = 0;
        if (!read_number(name, min, max, number, need))
            return false;
        value = static_cast<Integer>(number);
        return true;
    }

    bool read_string(const std::string& name, const string_constraint& rule, std::string& value,
                     presence need = presence::optional);

    /// Array of distinct strings.
    bool read_string_list(const std::string& name, const string_constraint& rule,
                          std::vector<std::string>& values, presence need = presence::optional);

    template <class Enum, std::size_t Size>
    bool read_enum(const std::string& name, const enum_name<Enum> (&table)[Size], Enum& value,
                   presence need = presence::optional)
    {
        std::string expected = "one of:";
        for (const auto& row : table)
            expected.append(" \"").append(row.m_name).append("\"");
        const json* field = find(name, expected, need);
        if (field == nullptr)
            return false;
        const auto found =
            field->is_string()
                ? find_enum_value(table, field->template get_ref<const std::string&>())
                : std::nullopt;
        if (!found)
            return add_value_error(path_of(name), expected, *field);
        value = *found;
        return true;
    }

    /// Returns the field if it is an object or an array respectively, else null.
    const json* read_object(const std::string& name, presence need = presence::optional);
    const json* read_array(const std::string& name, presence need = presence::optional);

    /// Adds an error for each field of the object that no read function has read.
    void reject_unknown_fields();

    std::string path_of(const std::string& name) const;
    void fail(const std::string& name, const std::string& message);
    std::vector<field_error>& errors() { return m_errors; }

private:
    const json* find(const std::string& name, const std::string& expected, presence need);
    bool read_number(const std::string& name, std::int64_t min, std::int64_t max,
                     std::int64_t& value, presence need);
    bool add_value_error(const std::string& path, const std::string& expected, const json& found);

    const json& m_object;
    std::string m_path;
    std::vector<field_error>& m_errors;
    /// Names passed to the read functions.
    std::set<std::string> m_known_fields;
};

/// Parses JSON text, with // and /* */ comments when `comments` is set. Syntax errors, fields that
/// occur twice in one object and nesting deeper than 32 levels are added to `errors`; the result
/// then has the type `discarded`.
json parse_json_text(const std::string& text, bool comments, std::vector<field_error>& errors);

} // namespace azureladder
