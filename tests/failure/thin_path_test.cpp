// The whole path over processes: caller, entry VM, engine or service, platform.
#include "support/caller.hpp"
#include "support/model_caller.hpp"
#include "support/node_process.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

json completion_body(bool stream)
{
    return {
        {"model", "wording"},
        {"messages", json::array({{{"role", "user"}, {"content", "a line for Noor"}}})},
        {"max_tokens", 8},
        {"stream", stream}};
}

TEST(thin_path, streams_a_whole_answer_and_reports_its_usage)
{
    fleet           system;
    httplib::Client client("127.0.0.1", system.node_port(1));
    auto const      response = client.Post("/v1/chat/completions", bearer(system),
                                           completion_body(true).dump(), "application/json");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_NE(response->body.find("\"completion_tokens\":8"), std::string::npos);
    EXPECT_NE(response->body.find("data: [DONE]"), std::string::npos);
    EXPECT_TRUE(eventually([&] { return reported_tokens(system, "north") == 8; }));
}

TEST(thin_path, runs_a_service_call_that_may_not_be_repeated_once)
{
    fleet           system;
    httplib::Client client("127.0.0.1", system.node_port(0));
    auto            headers = bearer(system);
    headers.emplace("Idempotency-Key", "order-1");
    auto const response = client.Post("/services/ordering/orders", headers,
                                      "{\"copies\":30}", "application/json");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(system.received(system.service_port(0), "call").size(), 1U);
}

TEST(thin_path, refuses_a_wrong_key_as_not_run)
{
    fleet           system;
    httplib::Client client("127.0.0.1", system.node_port(2));
    auto const      response = client.Post("/v1/chat/completions",
                                           {{"Authorization", "Bearer mgc_north-1_wrong"}},
                                           completion_body(false).dump(), "application/json");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 401);
    EXPECT_EQ(json::parse(response->body)["error"]["fate"], "not_run");
    EXPECT_TRUE(response->has_header("Retry-After"));
    EXPECT_TRUE(system.received(system.engine_port(0), "generate").empty());
}

} // namespace
} // namespace marigoldcrank::tests
