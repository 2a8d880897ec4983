#include <azureladder/base/object_reader.hpp>

#include <gtest/gtest.h>

namespace azureladder {
namespace {

// Guards against duplicate fields, of which the parser would silently keep the last.
TEST(json_text, repeated_fields_are_errors)
{
    std::vector<field_error> errors;
    EXPECT_TRUE(
        parse_json_text(R"({"a":{"b":1},"c":[{"b":1},{"b":2}]})", false, errors).is_object());
    EXPECT_TRUE(errors.empty());
    EXPECT_TRUE(parse_json_text(R"({"a":{"b":1,"b":2}})", false, errors).is_discarded());
    ASSERT_EQ(errors.size(), 1u);
    EXPECT_EQ(errors[0].m_path, "b");
}

// Guards against deeply nested input that exhausts the stack when the value is copied.
TEST(json_text, depth_is_limited)
{
    const auto nested = [](int depth) {
        std::string text;
        for (int i = 0; i < depth; ++i)
            text += i % 2 == 0 ? "[" : "{\"a\":";
        text += "1";
        for (int i = depth - 1; i >= 0; --i)
            text += i % 2 == 0 ? "]" : "}";
        return text;
    };
    std::vector<field_error> errors;
    EXPECT_TRUE(parse_json_text(nested(32), false, errors).is_array());
    EXPECT_TRUE(errors.empty());
    EXPECT_TRUE(parse_json_text(nested(33), false, errors).is_discarded());
    EXPECT_TRUE(parse_json_text(nested(1000000), false, errors).is_discarded());
    EXPECT_EQ(errors.size(), 2u);
}

// Guards against comments in protocol messages and against exceptions for invalid input.
TEST(json_text, comments_only_where_allowed)
{
    std::vector<field_error> errors;
    const std::string text = "// first\n{ /* second */ \"a\": 1 }";
    EXPECT_EQ(parse_json_text(text, true, errors), json({{"a", 1}}));
    EXPECT_TRUE(errors.empty());
    parse_json_text(text, false, errors);
    parse_json_text("{\"a\":1e9999}", true, errors);
    EXPECT_EQ(errors.size(), 2u);
}

// Guards against text that is changed when a document is written and read again.
TEST(json_text, plain_text_is_valid_utf8)
{
    EXPECT_TRUE(is_printable_utf8("výměna", 8));
    EXPECT_FALSE(is_printable_utf8("výměna", 7));
    EXPECT_FALSE(is_printable_utf8("v\xfd", 8));
    EXPECT_FALSE(is_printable_utf8("a\tb", 8));
}

} // namespace
} // namespace azureladder
