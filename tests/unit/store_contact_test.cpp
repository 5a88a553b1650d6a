// Evidence by which a store that is away is told from a VM that is slow or cut off.
#include "policy/store_contact.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

/// Reads that the store hasn't answered since the time 0.
answer_watch lost_reads()
{
    answer_watch own;
    own.sent(at_ms(0));
    return own;
}

// One slow VM took its own late reads for an outage.
TEST(store_contact, own_reads_alone_show_that_the_store_is_away)
{
    store_contact contact;
    EXPECT_FALSE(contact.away(lost_reads(), at_ms(5000)));
    contact.record(vms_answer::none_newer, at_ms(4900), at_ms(5000));
    EXPECT_FALSE(contact.away(lost_reads(), at_ms(5000)));
    contact.record(vms_answer::store_lost, at_ms(5000), at_ms(5100));
    EXPECT_TRUE(contact.away(lost_reads(), at_ms(5100)));
    EXPECT_FALSE(contact.away(answer_watch{}, at_ms(5100))); // the store answers this VM
}

// The word of another VM still counted when the store was back.
TEST(store_contact, word_of_another_vm_outlives_the_outage)
{
    store_contact contact;
    contact.record(vms_answer::store_lost, at_ms(0), at_ms(100));
    EXPECT_TRUE(contact.away(lost_reads(), at_ms(2000)));
    EXPECT_FALSE(contact.away(lost_reads(), at_ms(2200)));
    contact.record(vms_answer::store_lost, at_ms(2200), at_ms(2300));
    contact.record(vms_answer::newer, at_ms(2300), at_ms(2400));
    EXPECT_FALSE(contact.away(lost_reads(), at_ms(2400)));
}

// A VM that had been cut off held servers that had left meanwhile.
TEST(store_contact, vm_that_is_cut_off_takes_it_for_an_outage)
{
    store_contact contact;
    contact.record(vms_answer::silent, at_ms(0), at_ms(500));
    EXPECT_FALSE(contact.away(lost_reads(), at_ms(2900)));
    EXPECT_TRUE(contact.away(lost_reads(), at_ms(3000)));
    EXPECT_FALSE(contact.outage(lost_reads(), at_ms(3000)));
}

// A read that had failed long ago was told to others as if the store were away now.
TEST(answer_watch, old_failure_is_told_to_others)
{
    answer_watch own = lost_reads();
    EXPECT_EQ(own.unanswered(at_ms(700)), millis{700});
    own.failed(at_ms(1200));
    EXPECT_EQ(own.unanswered(at_ms(2000)), millis{2000});
    EXPECT_EQ(own.unanswered(at_ms(2300)), millis{0});
    own.sent(at_ms(2400));
    own.answered();
    EXPECT_EQ(own.unanswered(at_ms(3000)), millis{0});
    EXPECT_FALSE(own.lost(at_ms(3000)));
}

} // namespace
} // namespace marigoldcrank
