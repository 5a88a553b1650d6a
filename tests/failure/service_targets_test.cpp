// Service targets over processes: the verdict on a slow engine and its evidence.
#include "support/node_process.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

int ask(fleet const& system)
{
    httplib::Client client("127.0.0.1", system.node_port(0));
    json const      body{
        {"model", "wording"}, {"prompt", "a line for Noor"}, {"max_tokens", 8}};
    httplib::Headers headers{{"Authorization", "Bearer " + system.key("north")}};
    client.set_read_timeout(30);
    auto const response =
        client.Post("/v1/completions", headers, body.dump(), "application/json");
    return response ? response->status : 0;
}

json verdict(fleet const& system)
{
    auto const response = system.admin(0, "/admin/targets");
    for (auto const& each : response.value("targets", json::array()))
    {
        if (each["workspace"] == "north")
        {
            return each;
        }
    }
    return json::object();
}

// A missed target costs a contract penalty, so the verdict must be right. All engines are
// slow but respond: every call ends properly, only the time between its tokens is too
// long. A verdict from counts of failures would be "held"; it must be "missed" and name
// the calls, and the spans must hold the same times.
TEST(service_targets, a_slow_engine_is_a_missed_target_though_every_call_ends_well)
{
    fleet_options options;
    options.nodes = 1;
    options.engines = 1;
    options.engine_settings["decode_us"] = "150000";
    options.keep_output = true;
    fleet      system(options);
    auto const rules = system.rules() +
                       "[targets]\n; asked for by the tests\n"
                       "north-fast = workspace=north first_token_ms=30000 "
                       "between_tokens_ms=100 percent=95 window_s=300\n";
    auto const base = system.admin(0, "/admin/rules")["revision"].get<std::uint64_t>();
    ASSERT_EQ(system.apply(0, rules, base, "add-target")["outcome"], "accepted");
    EXPECT_EQ(verdict(system).value("state", ""), "no_evidence");
    EXPECT_EQ(ask(system), 200);
    ASSERT_EQ(system.received(system.engine_port(0), "generate").size(), 1U);
    auto const missed = verdict(system);
    EXPECT_EQ(missed.value("state", ""), "missed");
    EXPECT_EQ(missed.value("calls", 0), 1);
    EXPECT_EQ(missed.value("met", 1), 0);
    ASSERT_EQ(missed["missed"].size(), 1U);
    auto const id = missed["missed"][0].get<std::string>();
    auto const spans = system.admin(0, "/admin/explain?id=" + id)["spans"];
    bool       found = false;
    for (auto const& span : spans)
    {
        if (span["name"] == "finish")
        {
            found = true;
            auto const gap =
                span["attributes"]["marigoldcrank.between_tokens_ms"].get<std::string>();
            EXPECT_GE(std::stoi(gap), 100);
        }
    }
    EXPECT_TRUE(found);
}

} // namespace
} // namespace marigoldcrank::tests
