// Prompts that other VMs have just sent and that load digests don't show yet.
#include "policy/placement.hpp"
#include "policy/recent_sends.hpp"

#include <gtest/gtest.h>

#include <set>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{ms};
}

constexpr millis digest_age{450};

// Copies of a notice arrive over both relays of a data centre.
TEST(recent_sends, copies_of_a_notice_count_once)
{
    recent_sends      sends;
    send_notice const notice{7, "e", 5000, millis{300}};
    EXPECT_TRUE(sends.receive(notice, digest_age, at(0)));
    EXPECT_FALSE(sends.receive(notice, digest_age, at(3)));
    EXPECT_EQ(sends.tokens_at("e", at(4)), 5000);
}

// A copy that comes over a slower relay when the prompt is prefilled already must neither
// count nor be passed on again.
TEST(recent_sends, copies_after_the_life_of_a_notice_do_not_count)
{
    recent_sends      sends;
    send_notice const notice{7, "e", 5000, millis{40}};
    EXPECT_TRUE(sends.receive(notice, digest_age, at(0)));
    EXPECT_EQ(sends.tokens_at("e", at(41)), 0);
    EXPECT_FALSE(sends.receive(notice, digest_age, at(60)));
    EXPECT_FALSE(sends.receive(notice, digest_age, at(450)));
    EXPECT_EQ(sends.tokens_at("e", at(451)), 0);
}

// Notices with short lives must not use up the memory by their numbers.
TEST(recent_sends, the_number_of_remembered_notices_is_bounded)
{
    recent_sends sends{{.most_numbers = 2}};
    EXPECT_TRUE(sends.receive({1, "a", 1000, millis{1}}, digest_age, at(0)));
    EXPECT_TRUE(sends.receive({2, "b", 1000, millis{1}}, digest_age, at(2)));
    EXPECT_FALSE(sends.receive({3, "c", 1000, millis{1}}, digest_age, at(4)));
    EXPECT_TRUE(sends.receive({3, "c", 1000, millis{1}}, digest_age, at(1003)));
}

// The notice of a prompt that is prefilled when it arrives is a wasted message.
TEST(recent_sends, long_prompts_are_published_if_their_prefill_takes_long)
{
    recent_sends const sends;
    EXPECT_TRUE(sends.worth_publishing(1000, millis{30}));
    EXPECT_FALSE(sends.worth_publishing(999, millis{300}));
    EXPECT_FALSE(sends.worth_publishing(50000, millis{29}));
}

// A prompt must not count beside the digests that include it.
TEST(recent_sends, a_notice_ends_with_its_prefill_or_once_digests_include_it)
{
    recent_sends sends;
    sends.receive({1, "short", 2000, millis{60}}, digest_age, at(0));
    sends.receive({2, "long", 50000, millis{2000}}, digest_age, at(0));
    EXPECT_EQ(sends.tokens_at("short", at(61)), 0);
    EXPECT_EQ(sends.tokens_at("long", at(449)), 50000);
    EXPECT_EQ(sends.tokens_at("long", at(451)), 0);
    EXPECT_EQ(sends.size(), 0U);
}

// A VM that floods others with notices must not use up their memory.
TEST(recent_sends, the_number_of_notices_is_bounded)
{
    recent_sends sends{{.most = 2}};
    EXPECT_TRUE(sends.receive({1, "a", 1000, millis{100}}, digest_age, at(0)));
    EXPECT_TRUE(sends.receive({2, "b", 1000, millis{100}}, digest_age, at(0)));
    EXPECT_FALSE(sends.receive({3, "c", 1000, millis{100}}, digest_age, at(0)));
    EXPECT_TRUE(sends.receive({3, "c", 1000, millis{100}}, digest_age, at(101)));
    EXPECT_FALSE(sends.receive({4, "d", 0, millis{100}}, digest_age, at(101)));
}

// Replays long prompts at many VMs within the age of a digest: without notices, several
// of them go to the same idle engine.
TEST(recent_sends, long_prompts_of_different_vms_go_to_different_engines)
{
    std::vector<backend_server> engines;
    for (int index = 0; index < 8; ++index)
    {
        engines.push_back({.id = std::string{"e"}.append(std::to_string(index)),
                           .data_centre = "a",
                           .role = engine_role::prefill});
    }
    caller_call const call{.prompt = {{"own", 20000}}};
    auto const        chosen_engines = [&](bool announced)
    {
        recent_sends          sends;
        std::set<std::string> chosen;
        for (std::uint64_t vm = 0; vm < engines.size(); ++vm)
        {
            std::vector<candidate> candidates;
            for (auto const& engine : engines)
            {
                candidates.push_back(
                    {.server = &engine,
                     .load = {0, sends.tokens_at(engine.id, at(static_cast<int>(vm)))}});
            }
            auto const placed = place_model(candidates, call, {}, "a", vm / 2, {});
            chosen.insert(placed->server->id);
            if (announced)
            {
                sends.receive({vm, placed->server->id, 20000, millis{400}}, digest_age,
                              at(static_cast<int>(vm)));
            }
        }
        return chosen.size();
    };
    EXPECT_EQ(chosen_engines(true), engines.size());
    EXPECT_LT(chosen_engines(false), engines.size());
}

} // namespace
} // namespace marigoldcrank
