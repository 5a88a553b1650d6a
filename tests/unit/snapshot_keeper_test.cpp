// Tests when a snapshot is due, and which peers a node chooses as custodians of usage.
#include "app/peer_roster.hpp"
#include "app/snapshot_keeper.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

constexpr snapshot_options options{millis{1000}, 100};

/// A ledger that has folded `records` records. The last of them is a snapshot record if
/// `through` is not 0.
ledger folded(std::uint64_t records, std::uint64_t through)
{
    ledger           value;
    wire::log_record record;
    for (std::uint64_t offset = 1; offset < records; ++offset)
    {
        value.apply(offset, record);
    }
    if (through != 0)
    {
        record.mutable_ledger()->set_through_offset(through);
    }
    value.apply(records, record);
    return value;
}

TEST(snapshot_keeper, not_due_for_an_empty_log)
{
    EXPECT_FALSE(snapshot_due(ledger{}, 1, millis{5000}, options));
}

TEST(snapshot_keeper, due_after_max_interval_or_max_records)
{
    EXPECT_FALSE(snapshot_due(folded(50, 0), 1, millis{500}, options));
    EXPECT_TRUE(snapshot_due(folded(50, 0), 1, millis{1000}, options));
    EXPECT_TRUE(snapshot_due(folded(150, 0), 1, millis{500}, options));
    EXPECT_FALSE(snapshot_due(folded(150, 100), 1, millis{500}, options));
}

/// A snapshot is due once the last one ends in the older half of the retained records.
/// The next one must be in the log before retention passes the last one.
TEST(snapshot_keeper, due_before_retention_passes_the_last_one)
{
    EXPECT_FALSE(snapshot_due(folded(60, 40), 20, millis{0}, options));
    EXPECT_TRUE(snapshot_due(folded(60, 40), 21, millis{0}, options));
    EXPECT_TRUE(snapshot_due(folded(60, 0), 2, millis{0}, options));
}

TEST(peer_roster, custodians_that_acknowledge_come_first_then_the_own_data_centre)
{
    auto const  now = boot_clock::now();
    peer_roster roster("dc-1", millis{1000});
    roster.record_heartbeat("far", {.data_centre = "dc-2", .last_heartbeat = now});
    roster.record_heartbeat("near", {.data_centre = "dc-1", .last_heartbeat = now});
    roster.record_heartbeat(
        "leaving", {.data_centre = "dc-1", .draining = true, .last_heartbeat = now});
    roster.record_heartbeat(
        "gone", {.data_centre = "dc-1", .last_heartbeat = now - millis{1001}});
    for (std::uint64_t turn = 0; turn < 4; ++turn)
    {
        EXPECT_EQ(roster.custodians(now, turn),
                  (std::vector<std::string>{"near", "far"}));
    }
    roster.record_failure("near", now);
    EXPECT_EQ(roster.custodians(now, 0), (std::vector<std::string>{"far", "near"}));
}

TEST(peer_roster, an_earlier_incarnation_is_not_alive)
{
    auto const  now = boot_clock::now();
    peer_roster roster("dc-1", millis{1000});
    roster.record_heartbeat("node", {.incarnation = "second", .last_heartbeat = now});
    EXPECT_TRUE(roster.alive("node", "second", now));
    EXPECT_FALSE(roster.alive("node", "first", now));
    EXPECT_FALSE(roster.alive("node", "second", now + millis{1000}));
}

} // namespace
} // namespace marigoldcrank
