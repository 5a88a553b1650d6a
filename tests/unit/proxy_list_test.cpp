// The choice of the VM that opens a connection for one without links.
#include "policy/proxy_list.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace marigoldcrank::tests
{
namespace
{

constexpr boot_clock::time_point start{millis{100'000}};

proxy_list listed(std::vector<server_proxy> const& offers)
{
    proxy_list list;
    for (auto const& each : offers)
    {
        list.receive(each, start);
    }
    return list;
}

std::string chosen(proxy_list const& list, std::set<std::string> const& tried = {},
                   std::uint64_t random = 0, boot_clock::time_point now = start)
{
    auto const* proxy = list.choose("models", "here", tried, random, now);
    return proxy == nullptr ? "" : proxy->address;
}

// Bytes crossed data centres although a VM next door had links.
TEST(proxy_list, vm_of_the_own_data_centre_comes_first)
{
    auto const list = listed({{"a", "there", {}}, {"b", "here", {}}});
    EXPECT_EQ(chosen(list), "b");
    EXPECT_EQ(chosen(list, {"b"}), "a");
    EXPECT_EQ(chosen(list, {"a", "b"}), "");
}

// All VMs without links asked the same one.
TEST(proxy_list, choices_spread)
{
    auto const list = listed({{"a", "here", {}}, {"b", "here", {}}});
    EXPECT_NE(chosen(list, {}, 0), chosen(list, {}, 1));
}

// Calls were handed to a VM that had lost the same links.
TEST(proxy_list, vm_without_links_to_the_service_is_left_out)
{
    EXPECT_EQ(chosen(listed({{"a", "here", {"models"}}})), "");
    EXPECT_EQ(chosen(listed({{"a", "here", {"desk"}}})), "a");
}

// Calls waited for a VM that had been killed.
TEST(proxy_list, offers_end_unless_they_are_repeated)
{
    auto list = listed({{"a", "here", {}}});
    EXPECT_EQ(chosen(list, {}, 0, start + millis{900}), "a");
    EXPECT_EQ(chosen(list, {}, 0, start + millis{1100}), "");
}

// Each call asked the same full VM again.
TEST(proxy_list, avoided_vm_is_left_out_until_its_pause_ends)
{
    auto list = listed({{"a", "here", {}}});
    list.avoid("a", start + millis{250});
    list.receive({"a", "here", {}}, start + millis{100});
    EXPECT_EQ(chosen(list, {}, 0, start + millis{200}), "");
    EXPECT_EQ(chosen(list, {}, 0, start + millis{300}), "a");
}

// Members of large fleets knew only the first VMs of each digest.
TEST(proxy_list, samples_take_turns)
{
    auto const list = listed({{"a", "here", {}}, {"b", "here", {}}, {"c", "there", {}}});
    EXPECT_EQ(list.sample(1, "", 0, start).front().address, "a");
    EXPECT_EQ(list.sample(1, "", 2, start).front().address, "c");
    EXPECT_EQ(list.sample(9, "here", 1, start).size(), 2U);
    EXPECT_TRUE(proxy_list{}.sample(9, "", 5, start).empty());
}

} // namespace
} // namespace marigoldcrank::tests
