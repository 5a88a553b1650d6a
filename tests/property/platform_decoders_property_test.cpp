// Decoders of the platform's bytes: any input gives a value or nothing, never a crash.
//
// Index: 1 arbitrary bytes, 2 damaged documents, 3 round trips, 4 dialect
#include "platform/log_codec.hpp"
#include "platform/platform_dialect.hpp"
#include "platform/rules_decoder.hpp"
#include "platform/server_decoder.hpp"
#include "serving/event_splitter.hpp"
#include "serving/http_rules.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace marigoldcrank::platform
{
namespace
{

std::string const good_rules =
    R"({"version":7,"routes":[{"name":"r","host":"A.Example","path_prefix":"/p/","route_type":)"
    R"("streaming","timeout_ms":8000,"target_latency_ms":300,"priority":1,"service":"s",)"
    R"("max_attempts":2,"public":false,"resumable":true,"split":[{"service":"s","weight":9},)"
    R"({"service":"t","weight":1}]}],"services":[{"name":"s","max_connections":9,"engine":)"
    R"({"kv_hold_s":5.0},"scaling":{"min":1,"max":8,"spot_price":0.18}}],"limits":)"
    R"({"max_header_bytes":100,"idle_timeout_ms":9},"tenants":[{"name":"w","api_keys":["k"],)"
    R"("unit":"token_accounting","uncached_tokens":200,"rate_per_s":36000,"burst":72000}]})";

std::string const good_server =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready",)"
    R"("stage":"prefill","born":12,"sequence":4,"version":"v1"})";

// 1. Arbitrary bytes

RC_GTEST_PROP(platform_decoders, any_bytes_give_a_value_or_nothing,
              (std::string const& bytes))
{
    static_cast<void>(decode_rules(bytes));
    static_cast<void>(decode_server("id", bytes));
    static_cast<void>(decode_read(bytes, 5));
    static_cast<void>(decode_keyed(bytes, 5));
    static_cast<void>(decode_page(bytes));
    static_cast<void>(decode_end_offset(bytes));
    static_cast<void>(platform_dialect::parse_handle(bytes));
}

// 2. Damaged documents

/// A random value of any type for one field of a document.
nlohmann::json any_value()
{
    switch (*rc::gen::inRange(0, 7))
    {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<int>();
    case 2:
        return *rc::gen::arbitrary<std::string>();
    case 3:
        return *rc::gen::arbitrary<bool>();
    case 4:
        return nlohmann::json::array({1, "a", nullptr});
    case 5:
        return nlohmann::json::object({{"a", 1}});
    default:
        return *rc::gen::arbitrary<double>();
    }
}

/// The document with one random field replaced by a random value.
std::string with_damaged_field(std::string const& text)
{
    auto document = nlohmann::json::parse(text).flatten();
    auto field = document.begin();
    std::advance(field, *rc::gen::inRange<std::size_t>(0, document.size()));
    auto const value = any_value();
    *field = value.is_structured() ? nlohmann::json(nullptr) : value;
    return document.unflatten().dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

RC_GTEST_PROP(platform_decoders, fields_of_any_type_do_not_crash_the_decoders, ())
{
    static_cast<void>(decode_rules(with_damaged_field(good_rules)));
    static_cast<void>(decode_server("id", with_damaged_field(good_server)));
}

// A quota with a value of the wrong type or size, or in an unknown unit, must not be read
// as no quota.
RC_GTEST_PROP(platform_decoders, invalid_quotas_are_marked_as_unreadable, ())
{
    auto              document = nlohmann::json::parse(good_rules);
    auto&             entry = document["tenants"][0];
    auto const* const field =
        *rc::gen::element("rate_per_s", "burst", "unit", "uncached_tokens");
    entry[field] = any_value();
    auto const rules = decode_rules(
        document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    RC_ASSERT(rules.has_value());
    auto const& tenant = rules->workspaces().front();
    bool const  free = !tenant.quota && tenant.quota_valid;
    bool const  no_rate = entry["rate_per_s"].is_null() || entry["rate_per_s"] == 0;
    RC_ASSERT(!free || no_rate || entry["rate_per_s"] < 1);
    RC_ASSERT((!tenant.quota || (tenant.quota->rate > 0 && tenant.quota->burst >= 0 &&
                                 tenant.quota->default_units >= 0)));
}

TEST(platform_decoders, complete_rules_are_decoded)
{
    auto const rules = decode_rules(good_rules);
    ASSERT_TRUE(rules);
    EXPECT_EQ(rules->version(), 7U);
    auto const* route = rules->find_route("a.example", "/p/x");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, call_kind::stream);
    EXPECT_EQ(route->targets.size(), 2U);
    EXPECT_TRUE(route->resumable);
    EXPECT_EQ(rules->find_route("a.example", "/q/x"), nullptr);
    EXPECT_EQ(rules->find_workspace_by_key("k")->name, "w");
    workspace_quota const quota{
        .rate = 36'000, .burst = 72'000, .tokens = true, .default_units = 200};
    EXPECT_EQ(rules->find_workspace_by_key("k")->quota, quota);
    EXPECT_EQ(rules->find_workspace_by_key("l"), nullptr);
    EXPECT_TRUE(rules->find_service("s")->has_engines);
    EXPECT_EQ(rules->find_service("s")->fleet->most, 8);
    EXPECT_EQ(rules->limits().header_bytes, 100);
}

// Entries of other writers must be rejected as a whole: none may be read as a server in
// part.
TEST(platform_decoders, unusable_server_entries_are_rejected)
{
    for (
        auto const* text :
        {"", "[]", "7", "{}", R"({"service":"s","address":"10.0.0.1:80","version":"v1"})",
         R"({"service":"s","address":"10.0.0.1:80","state":"asleep","version":"v1"})",
         R"({"service":7,"address":"10.0.0.1:80","state":"ready","version":"v1"})",
         R"({"service":"s","address":"10.0.0.1","state":"ready","version":"v1"})",
         R"({"service":"s","address":"10.0.0.1:0","state":"ready","version":"v1"})",
         R"({"service":"s","address":"10.0.0.1:99999","state":"ready","version":"v1"})",
         R"({"service":"s","address":"10.0.0.1:80","state":"ready","slots":"six","version":"v1"})",
         R"({"service":"s","address":"10.0.0.1:80","state":"ready","born":1.5,"version":"v1"})",
         R"({"service":"s","address":"10.0.0.1:80","state":"ready"})",
         R"({"service":"s","address":"10.0.0.1:80","state":"ready","version":2})"})
    {
        EXPECT_FALSE(decode_server("id", text)) << text;
    }
    EXPECT_FALSE(decode_server("", good_server));
    auto const server = decode_server("id", good_server);
    ASSERT_TRUE(server);
    EXPECT_EQ(server->role, engine_role::prefill);
    EXPECT_EQ(server->port, 80);
    EXPECT_EQ(server->born_unix_ms, 12);
    EXPECT_EQ(server->version, "v1");
}

// 3. Round trips

RC_GTEST_PROP(platform_decoders, framed_records_are_decoded_unchanged,
              (std::vector<std::string> const& records))
{
    std::string const offsets(16, '\0');
    auto const        chunk = decode_read(offsets + frame_records(records), 9);
    RC_ASSERT(chunk.has_value());
    RC_ASSERT(chunk->records == records);
    RC_ASSERT(chunk->from == 9U);
}

RC_GTEST_PROP(platform_decoders, truncated_reads_are_rejected,
              (std::string const& record))
{
    auto const body = std::string(16, '\0') + frame_records({record + "x"});
    auto const cut = *rc::gen::inRange<std::size_t>(0, body.size());
    if (cut != 16)
    {
        RC_ASSERT(!decode_read(body.substr(0, cut), 0).has_value());
    }
}

RC_GTEST_PROP(platform_decoders, split_events_are_complete_and_unchanged,
              (std::vector<std::string> const& texts))
{
    std::string stream;
    for (std::size_t number = 0; number < texts.size(); ++number)
    {
        std::string line;
        for (auto const letter : texts[number])
        {
            line.push_back(letter == '\n' || letter == '\r' ? '_' : letter);
        }
        stream += "id: " + std::to_string(number) + "\ndata: " + line + "\n\n";
    }
    event_splitter splitter;
    std::string    out;
    for (std::size_t at = 0; at < stream.size();)
    {
        auto const length = *rc::gen::inRange<std::size_t>(1, 40);
        auto const events = splitter.feed(stream.substr(at, length));
        RC_ASSERT(events.bytes.empty() || events.bytes.ends_with("\n\n"));
        out += events.bytes;
        at += length;
    }
    RC_ASSERT(out + splitter.rest() == stream);
    RC_ASSERT(splitter.rest().empty());
}

// 4. Dialect

RC_GTEST_PROP(platform_decoders, api_keys_are_not_forwarded, (std::string const& text))
{
    std::string key = "key";
    for (unsigned char const letter : text)
    {
        key.push_back(std::isalnum(letter) != 0 ? static_cast<char>(letter) : 'x');
    }
    http_request request{boost::beast::http::verb::post, "/p/x", 11};
    request.set(boost::beast::http::field::host, "a");
    request.set("Authorization", "Bearer " + key);
    request.set("Connection", "Request-Id, X-Hop");
    request.set("X-Hop", "1");
    request.set("Request-Id", "r");
    auto const call = platform_dialect::parse_call(request);
    RC_ASSERT(std::get<caller_call>(call).key == key);
    auto const attempt =
        platform_dialect::build_attempt_request(request, {.server_id = "i"});
    for (auto const& field : attempt.base())
    {
        RC_ASSERT(field.value().find(key) == boost::beast::string_view::npos);
    }
    RC_ASSERT(attempt["Request-Id"] == "r");
    RC_ASSERT(attempt.count("X-Hop") == 0U);
}

TEST(platform_decoders, response_heads_are_parsed)
{
    boost::beast::http::response_header<> head;
    head.result(421U);
    head.set("Request-Id", "r");
    head.set("Keep-Alive", "timeout=7, max=3");
    head.set("Connection", "close");
    auto const facts = platform_dialect::parse_response(head);
    EXPECT_TRUE(facts.not_run);
    EXPECT_TRUE(facts.closes);
    EXPECT_FALSE(facts.is_signed);
    EXPECT_EQ(facts.call_id, "r");
    EXPECT_EQ(facts.idle_limit, millis{7000});
}

} // namespace
} // namespace marigoldcrank::platform
