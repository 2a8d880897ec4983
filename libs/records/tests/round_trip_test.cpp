#include <azureladder/records/document.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace azureladder::records {
namespace {

/// RapidCheck reads its seed from the environment. A fixed seed makes failures reproducible.
const bool seeded = setenv("RC_PARAMS", "seed=20261204 max_success=200", 0) == 0;

std::string generated_name()
{
    return *rc::gen::element<std::string>("a", "b-1", "c.2", "d_3", "eee");
}

json generated_names()
{
    return *rc::gen::element(json::array(), json::array({"z1"}), json::array({"z1", "z2"}));
}

json generated_service(const std::string& name)
{
    const int slices = *rc::gen::inRange(1, 65537);
    const int execution_ms = *rc::gen::inRange(1, 60001);
    const int timeout_ms = *rc::gen::inRange(1, 600001);
    json record = {{"kind", "service"}, {"name", name}};
    if (*rc::gen::arbitrary<bool>()) {
        record.update({{"schema_version", 1}, {"divided_by_key", *rc::gen::arbitrary<bool>()}});
        record.update({{"slices", slices}, {"zones", generated_names()}});
        record.update({{"max_execution_ms", execution_ms}, {"default_timeout_ms", timeout_ms}});
        return record;
    }
    record["schema_version"] = 2;
    record["placement"] = {{"divided_by_key", true}, {"slices", slices}};
    record["placement"]["key_groups"] = *rc::gen::element(
        json::array(), json::array({{{"name", "g"}, {"prefix", "výměna/"}}}),
        json::array({{{"name", "g"}, {"prefix", "\"\\"}}, {{"name", "h"}, {"prefix", "\"\\x"}}}));
    record["execution"] = {{"max_execution_ms", execution_ms}};
    record["routing"] = {{"policy", *rc::gen::element("random", "two_choices")}};
    return record;
}

json generated_state(const char* kind, const std::string& name)
{
    json record = {{"kind", kind}, {"name", name}, {"schema_version", 1}};
    record["state"] = *rc::gen::element("in", "out");
    if (*rc::gen::arbitrary<bool>())
        record.update({{"schema_version", 2}, {"reason", *rc::gen::element("", "disk", "čekání")}});
    return record;
}

json generated_policy(const std::string& name)
{
    json record = {{"kind", "key_policy"}, {"name", name}, {"service", generated_name()}};
    if (*rc::gen::arbitrary<bool>())
        record.update({{"schema_version", 1}, {"servers", generated_names()}});
    else
        record.update({{"schema_version", 2}, {"owners", {{"zones", generated_names()}}}});
    return record;
}

json generated_record()
{
    const std::string name = generated_name();
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return generated_service(name);
    case 1:
        return generated_policy(name);
    case 2:
        return generated_state("zone", name);
    default:
        return generated_state("server", name);
    }
}

/// Applies generated changes and skips those that are rejected.
document generated_document()
{
    document value;
    const int changes = *rc::gen::inRange(0, 20);
    for (int i = 0; i < changes; ++i) {
        const json records = json::array({generated_record(), generated_record()});
        const auto changed = apply_records(value, records, "id-" + std::to_string(i));
        if (!changed)
            continue;
        RC_ASSERT(changed.value().m_revision == value.m_revision + 1);
        // Applying the same records again makes no difference.
        RC_ASSERT(diff_records(changed.value(), records).empty());
        value = changed.value();
    }
    return value;
}

// Guards against losing or changing content when a document is serialized and parsed.
TEST(round_trip, document_text_keeps_everything)
{
    ASSERT_TRUE(seeded);
    EXPECT_TRUE(rc::check([] {
        const document value = generated_document();
        const auto read = parse_document(serialize_document(value));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read.value().m_revision == value.m_revision);
        RC_ASSERT(read.value().m_apply_ids == value.m_apply_ids);
        RC_ASSERT(read.value().m_records == value.m_records);
        RC_ASSERT(read.value().m_zones == value.m_zones);
        RC_ASSERT(read.value().m_servers == value.m_servers);
        RC_ASSERT(read.value().m_services.size() == value.m_services.size());
        RC_ASSERT(read.value().m_key_policies.size() == value.m_key_policies.size());
        RC_ASSERT(serialize_document(read.value()) == serialize_document(value));
    }));
}

// Guards against corrupted text that causes an exception or is parsed as a document with invalid
// records.
TEST(round_trip, corrupted_text_is_an_error_or_a_valid_document)
{
    EXPECT_TRUE(rc::check([] {
        std::string text = serialize_document(generated_document());
        const int corruption_count = *rc::gen::inRange(1, 4);
        for (int i = 0; i < corruption_count; ++i)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const auto read = parse_document(text);
        if (read) {
            RC_ASSERT(parse_document(serialize_document(read.value())).has_value());
        } else {
            RC_ASSERT(!read.error().m_message.empty());
        }
    }));
}

} // namespace
} // namespace azureladder::records
