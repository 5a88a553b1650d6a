// Losses of several servers at once against the crash of one.
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

// A zone of cheap servers is reclaimed: what streamed from each of them is suspected of
// having crashed it, and waits for a server of its own beyond its deadline.
TEST(mass_loss, excuses_what_was_on_one_of_several_servers)
{
    mass_loss losses(millis{2000});
    EXPECT_EQ(losses.note("a", "first", at(0)), contents{});
    EXPECT_EQ(losses.note("a", "second", at(10)), contents{});
    EXPECT_EQ(losses.note("b", "third", at(500)), (contents{"first", "second", "third"}));
    EXPECT_EQ(losses.note("a", "late", at(600)),
              (contents{"first", "late", "second", "third"}));
}

// A request crashes a server, is sent again and crashes the next within the same second:
// it must not pass for a victim of a reclaim.
TEST(mass_loss, does_not_excuse_what_was_on_each_of_them)
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

// Poison falls into the moment of a reclaim, is excused and runs among others: its next
// crash must end it, or it would take a third server.
TEST(mass_loss, an_excused_crash_still_counts)
{
    poison_list list({});
    list.note("poison", "crash-1", at(0));
    EXPECT_EQ(list.judge("poison", at(1)), poison_verdict::suspect);
    list.excuse("poison");
    EXPECT_EQ(list.judge("poison", at(1)), poison_verdict::innocent);
    list.note("poison", "crash-2", at(2));
    EXPECT_EQ(list.judge("poison", at(3)), poison_verdict::guilty);
    list.ran_whole("poison", false);
    EXPECT_EQ(list.judge("poison", at(3)), poison_verdict::guilty);
}

} // namespace
} // namespace marigoldcrank
