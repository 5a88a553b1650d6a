// Tests the distinction between the loss of several servers at once and single crashes.
#include "policy/mass_loss.hpp"
#include "policy/poison_list.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

using contents = std::vector<std::string>;

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{millis{ms}};
}

// The platform reclaims the cheap servers of a data centre. If the contents in flight on
// them stayed suspects, each would wait for a server of its own until past its deadline.
TEST(mass_loss, excuses_contents_in_flight_on_one_of_several_servers)
{
    mass_loss losses(millis{2000});
    EXPECT_EQ(losses.note("a", "first", at(0)), contents{});
    EXPECT_EQ(losses.note("a", "second", at(10)), contents{});
    EXPECT_EQ(losses.note("b", "third", at(500)), (contents{"first", "second", "third"}));
    EXPECT_EQ(losses.note("a", "late", at(600)),
              (contents{"first", "late", "second", "third"}));
}

// A request crashes a server, is sent again and crashes the next one within the same
// second. It must not be mistaken for a victim of a reclaim.
TEST(mass_loss, does_not_excuse_contents_in_flight_on_each_server)
{
    mass_loss losses(millis{2000});
    losses.note("a", "poison", at(0));
    losses.note("a", "victim", at(0));
    EXPECT_EQ(losses.note("b", "poison", at(300)), contents{"victim"});
}

TEST(mass_loss, servers_lost_one_after_the_other_excuse_nothing)
{
    mass_loss losses(millis{2000});
    losses.note("a", "first", at(0));
    EXPECT_EQ(losses.note("b", "second", at(2000)), contents{});
}

// Poison that crashes a server during a reclaim is excused and runs beside other calls.
// Its next crash must block it, or it would crash a third server.
TEST(mass_loss, an_excused_crash_still_counts)
{
    poison_list list({});
    list.note("poison", "crash-1", at(0));
    EXPECT_EQ(list.evaluate("poison", at(1)), poison_verdict::suspect);
    list.excuse("poison");
    EXPECT_EQ(list.evaluate("poison", at(1)), poison_verdict::allowed);
    list.note("poison", "crash-2", at(2));
    EXPECT_EQ(list.evaluate("poison", at(3)), poison_verdict::blocked);
    list.record_completion("poison", false);
    EXPECT_EQ(list.evaluate("poison", at(3)), poison_verdict::blocked);
}

} // namespace
} // namespace marigoldcrank
