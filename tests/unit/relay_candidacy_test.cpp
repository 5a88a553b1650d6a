// Candidates for relays when all VMs of a fleet start at once, and their entries.
#include "ledger/relay_entry.hpp"
#include "policy/relay_candidacy.hpp"
#include "policy/relay_plan.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace marigoldcrank
{
namespace
{

/// The list after all VMs of a fleet have looked once; each sees the entries of those
/// that looked at least `delay` earlier.
std::set<vm_contact> candidates(int vms, int large, millis delay)
{
    std::mt19937_64                   random{20261202};
    std::multimap<millis, vm_contact> looks;
    for (int number = 0; number < vms; ++number)
    {
        auto const       host = "10.0.0." + std::to_string(number);
        vm_contact const vm{.digests = host + ":1",
                            .records = host + ":2",
                            .data_centre = "centre-" + std::to_string(number % 5),
                            .capacity = number < large ? 1000 : 120};
        looks.emplace(candidacy_delay(vm, random()), vm);
    }
    std::multimap<millis, vm_contact> entered;
    for (auto const& [at, vm] : looks)
    {
        std::set<vm_contact> listed;
        for (auto each = entered.begin();
             each != entered.end() && each->first <= at - delay; ++each)
        {
            listed.insert(each->second);
        }
        if (would_be_relay(listed, vm, {}))
        {
            entered.emplace(at, vm);
        }
    }
    std::set<vm_contact> result;
    for (auto const& [at, vm] : entered)
    {
        result.insert(vm);
    }
    return result;
}

// If every VM entered itself, each of them would read what all others wrote.
TEST(relay_candidacy, entries_at_a_start_of_all_do_not_grow_with_the_fleet)
{
    for (int const vms : {300, 1000, 2000})
    {
        auto const listed = candidates(vms, vms / 20, millis{20});
        EXPECT_LE(listed.size(), 5U * 12) << vms;
        for (auto const& vm : listed)
        {
            EXPECT_EQ(vm.capacity, 1000) << vms;
        }
    }
}

// A data centre without a large VM needs relays too.
TEST(relay_candidacy, small_vms_enter_if_there_are_no_large_ones)
{
    auto const                 listed = candidates(1000, 0, millis{20});
    std::map<std::string, int> entries;
    for (auto const& vm : listed)
    {
        ++entries[vm.data_centre];
    }
    EXPECT_EQ(entries.size(), 5U);
    for (auto const& [centre, count] : entries)
    {
        EXPECT_GE(count, 2) << centre;
    }
    EXPECT_LE(listed.size(), 5U * 50);
}

TEST(relay_entry, text_of_another_writer_is_no_entry)
{
    relay_entry const entry{.contact = {.digests = "10.0.0.1:1",
                                        .records = "10.0.0.1:2",
                                        .data_centre = "centre",
                                        .capacity = 1000},
                            .vms = 985};
    EXPECT_EQ(parse_relay_entry(format_relay_entry(entry)), entry);
    for (auto const* text : {"", "[]", "{}", "{\"address\":1}",
                             R"({"address":"","records":"r","data_centre":"c",)"
                             R"("capacity":1,"vms":1})",
                             R"({"address":"a","records":"r","data_centre":"c",)"
                             R"("capacity":1,"vms":-1})"})
    {
        EXPECT_FALSE(parse_relay_entry(text)) << text;
    }
}

} // namespace
} // namespace marigoldcrank
