// The work at a server, kept as a running sum, is that of all digests that still count.
#include "policy/peer_loads.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace marigoldcrank
{
namespace
{

constexpr millis max_age{1000};

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{value};
}

std::string server_name(int index)
{
    return std::string{"e"}.append(std::to_string(index));
}

/// The digests of all senders as they came, added up anew for each question.
class plain_sum
{
public:
    void merge(std::string const& vm, vm_work const& work, std::int64_t now_ms)
    {
        digests_[vm] = {now_ms, work};
    }

    server_load at(std::string const& server, std::int64_t now_ms) const
    {
        server_load sum;
        for (auto const& [vm, digest] : digests_)
        {
            auto const& [received_ms, work] = digest;
            auto const found = work.loads.find(server);
            if (now_ms - received_ms <= max_age.count() && found != work.loads.end())
            {
                sum.add(found->second);
            }
        }
        return sum;
    }

private:
    std::map<std::string, std::pair<std::int64_t, vm_work>> digests_;
};

vm_work some_work()
{
    vm_work    work;
    auto const servers = *rc::gen::inRange(0, 4);
    for (int count = 0; count < servers; ++count)
    {
        work.loads[server_name(*rc::gen::inRange(0, 4))] = {
            *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 3) * 500};
    }
    return work;
}

// If the sum kept the work of a digest that was replaced or has become too old, the
// engine would look busy for ever.
RC_GTEST_PROP(peer_loads, running_sum_is_the_sum_of_the_digests_that_count, ())
{
    peer_loads   loads{{.max_age = max_age}};
    plain_sum    plain;
    std::int64_t now = 0;
    auto const   steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step)
    {
        now += *rc::gen::element(0, 1, 150, 500, 999, 1000, 1001);
        auto const choice = *rc::gen::inRange(0, 4);
        if (choice == 0)
        {
            loads.expire(at_ms(now));
        }
        else
        {
            auto const vm = std::string{"v"}.append(std::to_string(choice));
            auto const work = some_work();
            loads.merge(vm, work, at_ms(now));
            plain.merge(vm, work, now);
        }
        auto const asked = now + *rc::gen::element(0, 1, 500, 1000, 1001);
        for (int index = 0; index < 4; ++index)
        {
            auto const server = server_name(index);
            RC_ASSERT(loads.at(server, at_ms(asked)) == plain.at(server, asked));
            RC_ASSERT(loads.at(server, at_ms(now)) == plain.at(server, now));
        }
    }
}

// VMs hold their digests by value; a moved or copied one must go on like the first.
TEST(peer_loads, copies_and_moved_ones_keep_their_sums)
{
    peer_loads loads{{.max_age = max_age}};
    loads.merge("a", {.loads = {{"e", {1, 100}}}}, at_ms(0));
    loads.merge("b", {.loads = {{"e", {2, 200}}}}, at_ms(600));
    auto copied = loads;
    auto moved = std::move(loads);
    for (auto* const each : {&copied, &moved})
    {
        EXPECT_EQ(each->at("e", at_ms(1000)), (server_load{3, 300}));
        EXPECT_EQ(each->at("e", at_ms(1001)), (server_load{2, 200}));
        each->merge("b", {.loads = {{"f", {5, 0}}}}, at_ms(1001));
        each->expire(at_ms(1001));
        EXPECT_EQ(each->at("e", at_ms(1001)), server_load{});
        EXPECT_EQ(each->at("f", at_ms(2001)), (server_load{5, 0}));
    }
}

} // namespace
} // namespace marigoldcrank
