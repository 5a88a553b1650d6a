// Which streams are copied, where to, how interrupted ones go on, and what switches it.
//
// Index: 1 support, 2 wants_copy, 3 choose_copy_target, 4 decide_continuation, 5 wire
#include "policy/stream_copy.hpp"

#include "domain/entry_settings.hpp"
#include "platform/platform_dialect.hpp"
#include "platform/rules_decoder.hpp"

#include <gtest/gtest.h>

#include <set>

namespace marigoldcrank
{
namespace
{

// 1. Support

backend_server engine(std::string id, std::string data_centre)
{
    return {.id = std::move(id),
            .data_centre = std::move(data_centre),
            .group = "models",
            .role = engine_role::decode,
            .slots = 8,
            .version = "v1"};
}

std::vector<candidate> candidates_of(std::vector<backend_server> const& engines)
{
    std::vector<candidate> result;
    for (auto const& each : engines)
    {
        result.push_back({.server = &each});
    }
    return result;
}

std::string target_id(std::vector<candidate> const& candidates,
                      backend_server const& server, copy_counts const& copies = {})
{
    auto const* chosen = choose_copy_target(candidates, server, copies, 1, {});
    return chosen == nullptr ? "" : chosen->id;
}

// 2. wants_copy

// Copies for all streams would fill the engines' memory with what serves no caller.
TEST(stream_copy, only_streams_that_cannot_go_on_in_time_otherwise_are_copied)
{
    stream_outlook const lost{.output_tokens = 100};
    EXPECT_TRUE(wants_copy(lost, {}));
    stream_outlook const resumable{.may_be_resumed = true,
                                   .reread_ms = 300,
                                   .patience = millis{400},
                                   .output_tokens = 100};
    EXPECT_FALSE(wants_copy(resumable, {}));
    auto slow = resumable;
    slow.reread_ms = 500;
    EXPECT_TRUE(wants_copy(slow, {}));
    slow.patience = millis{0};
    EXPECT_FALSE(wants_copy(slow, {}));
    auto brief = lost;
    brief.output_tokens = 1;
    EXPECT_FALSE(wants_copy(brief, {}));
}

TEST(stream_copy, callers_leave_by_their_objective_and_pauses_but_not_within_two_seconds)
{
    EXPECT_EQ(caller_patience_in_stream({}), millis{2000});
    EXPECT_EQ(caller_patience_in_stream({.objective = millis{600}}), millis{2400});
    EXPECT_EQ(caller_patience_in_stream({.event_gap = millis{400}}), millis{3200});
}

// 3. choose_copy_target

TEST(stream_copy, target_is_in_another_data_centre_then_full_price_then_least_loaded)
{
    std::vector engines{engine("run", "a"), engine("near", "a"), engine("cheap", "b"),
                        engine("busy", "b"), engine("idle", "b")};
    engines[2].cheap = true;
    auto all = candidates_of(engines);
    all[3].load.running = 3;
    all[4].load.running = 2;
    EXPECT_EQ(target_id(all, engines[0]), "idle");
    EXPECT_EQ(target_id(all, engines[0], {{"idle", 2}}), "busy");
    all.resize(3);
    EXPECT_EQ(target_id(all, engines[0]), "cheap");
    all.resize(2);
    EXPECT_EQ(target_id(all, engines[0]), "near");
    all.resize(1);
    EXPECT_EQ(target_id(all, engines[0]), "");
}

TEST(stream_copy, engine_that_could_not_go_on_with_the_run_gets_no_copy)
{
    std::vector engines{engine("run", "a"), engine("other", "b")};
    auto const  refuses = [&](auto change)
    {
        auto changed = engines;
        auto all = candidates_of(changed);
        change(changed[1], all[1]);
        return target_id(all, changed[0]).empty();
    };
    using server = backend_server;
    EXPECT_FALSE(refuses([](server&, candidate&) {}));
    EXPECT_TRUE(
        refuses([](server& each, candidate&) { each.role = engine_role::prefill; }));
    EXPECT_TRUE(refuses([](server& each, candidate&) { each.leaving = true; }));
    EXPECT_TRUE(refuses([](server& each, candidate&) { each.version = "v2"; }));
    EXPECT_TRUE(refuses([](server& each, candidate&) { each.group = "others"; }));
    EXPECT_TRUE(refuses([](server&, candidate& each) { each.avoided = true; }));
    EXPECT_TRUE(refuses([](server&, candidate& each) { each.load.running = 6; }));
}

// Load: a third of the engines of a data centre are taken back together, while each
// engine runs two streams. Every stream that they cut off must have its copy elsewhere,
// and no engine may get more of them than it has free slots.
TEST(stream_copy, third_of_a_data_centre_taken_back_together_loses_no_copy)
{
    constexpr std::size_t       streams_per_engine = 2;
    std::vector<backend_server> engines;
    std::set<std::string>       taken_back;
    for (std::size_t number = 0; number < 36; ++number)
    {
        std::string const centre(1, "abc"[number % 3]);
        engines.push_back(engine("engine-" + std::to_string(number), centre));
        engines.back().cheap = number < 18;
        if (centre == "a" && number < 12)
        {
            taken_back.insert(engines.back().id);
        }
    }
    auto all = candidates_of(engines);
    for (auto& each : all)
    {
        each.load.running = streams_per_engine;
    }
    copy_counts copies;
    copy_counts continued;
    for (std::size_t stream = 0; stream < engines.size() * streams_per_engine; ++stream)
    {
        auto const& server = engines[stream % engines.size()];
        auto const* target = choose_copy_target(all, server, copies, stream, {});
        ASSERT_NE(target, nullptr) << server.id;
        copies[target->id] += 1;
        EXPECT_NE(target->data_centre, server.data_centre);
        if (taken_back.count(server.id) > 0)
        {
            EXPECT_EQ(taken_back.count(target->id), 0U);
            continued[target->id] += 1;
        }
    }
    EXPECT_EQ(taken_back.size(), 4U);
    for (auto const& [id, count] : continued)
    {
        EXPECT_LE(count + static_cast<std::int64_t>(streams_per_engine), 8) << id;
    }
}

// 4. decide_continuation

TEST(stream_copy, interrupted_stream_goes_on_from_its_copy_else_as_without_one)
{
    interrupted_stream const whole{
        .copied = true, .target_usable = true, .has_event_id = true, .time_left = true};
    EXPECT_EQ(decide_continuation(whole), stream_continuation_step::from_copy);
    using flag = bool interrupted_stream::*;
    for (flag const missing :
         {&interrupted_stream::copied, &interrupted_stream::target_usable,
          &interrupted_stream::has_event_id})
    {
        auto stream = whole;
        stream.*missing = false;
        EXPECT_EQ(decide_continuation(stream), stream_continuation_step::end);
        stream.may_be_resumed = true;
        EXPECT_EQ(decide_continuation(stream), stream_continuation_step::read_again);
    }
    auto late = whole;
    late.may_be_resumed = true;
    late.time_left = false;
    EXPECT_EQ(decide_continuation(late), stream_continuation_step::end);
}

// 5. Wire

TEST(stream_copy, copies_are_switched_on_by_the_rules_of_a_service)
{
    auto const rules = platform::decode_rules(
        R"({"version":1,"services":[{"name":"a","engine":{"backups":true}},)"
        R"({"name":"b","engine":{"backups":"yes"}},{"name":"c","engine":{}}]})");
    ASSERT_TRUE(rules);
    EXPECT_TRUE(rules->find_service("a")->has_copies);
    EXPECT_FALSE(rules->find_service("b")->has_copies);
    EXPECT_FALSE(rules->find_service("c")->has_copies);
}

// A caller's own field would send the memory of its run to any address.
TEST(stream_copy, only_the_system_names_the_engine_that_gets_a_copy)
{
    http_request request;
    request.set("Kv-Backup", "10.0.0.9:80");
    auto const build = platform::platform_dialect::build_attempt_request;
    EXPECT_EQ(build(request, {}).count("Kv-Backup"), 0U);
    EXPECT_EQ(build(request, {.copy_to = "10.0.0.1:80"})["Kv-Backup"], "10.0.0.1:80");
}

} // namespace
} // namespace marigoldcrank
