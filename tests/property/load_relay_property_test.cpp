// Tests sums of work over relays: the work of each VM counts once on every path.
#include "policy/load_relay.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

struct simulated_vm
{
    vm_contact contact;
    relay_plan plan;
    load_relay relay;
    vm_work    own;
};

std::vector<simulated_vm> make_fleet(int centres, int vms_each)
{
    std::set<vm_contact> contacts;
    for (int index = 0; index < centres * vms_each; ++index)
    {
        contacts.insert({.digests = "vm-" + std::to_string(index),
                         .data_centre = "centre-" + std::to_string(index % centres)});
    }
    std::vector<simulated_vm> vms;
    for (auto const& contact : contacts)
    {
        simulated_vm vm{.contact = contact};
        vm.plan = plan_relays(contacts, contact, {.mesh = 8});
        vm.relay.follow(vm.plan, contact.digests, contact.data_centre);
        vms.push_back(std::move(vm));
    }
    return vms;
}

/// Each VM publishes in turn, and the VMs that receive from it do so at once.
void publish_all(std::vector<simulated_vm>& vms, boot_clock::time_point now)
{
    for (auto& sender : vms)
    {
        for (auto const& digest : sender.relay.digests(sender.own, now))
        {
            for (auto& receiver : vms)
            {
                if (receiver.plan.digests.count(sender.contact.digests) > 0)
                {
                    receiver.relay.merge(digest, now);
                }
            }
        }
    }
}

// If both relays of a data centre counted a VM's work, free engines would look full and
// callers would be refused.
RC_GTEST_PROP(load_relay, steady_work_of_all_others_is_counted_once_everywhere, ())
{
    auto         vms = make_fleet(*rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
    std::int64_t total = 0;
    for (auto& vm : vms)
    {
        auto const running = *rc::gen::inRange(0, 9);
        vm.own.loads["engine"].running = running;
        vm.own.loads["engine"].prefill_tokens = running * 1000;
        vm.own.demands["models"].prompt_rate = running * 500.0;
        vm.own.works["models"].ranks[1].offered = running * 10.0;
        vm.own.works["models"].workspaces[{1, "w"}] = running * 10.0;
        total += running;
    }
    constexpr int rounds = 5; // a sum needs three digests to reach all VMs
    for (int round = 0; round < rounds; ++round)
    {
        publish_all(vms, at_ms(1000 + 150 * round));
    }
    auto const now = at_ms(1000 + 150 * rounds);
    for (auto const& vm : vms)
    {
        auto const others = total - vm.own.loads.at("engine").running;
        RC_ASSERT(vm.relay.at("engine", now).running == others);
        RC_ASSERT(vm.relay.at("engine", now).prefill_tokens == others * 1000);
        RC_ASSERT(vm.relay.demand("models", now).prompt_rate ==
                  static_cast<double>(others) * 500.0);
        auto const expected = static_cast<double>(others) * 10.0;
        auto       work = vm.relay.work("models", now);
        auto const offered = work.ranks[1].offered;
        auto const of_workspace = work.workspaces[{1, "w"}];
        RC_ASSERT(offered == expected);
        RC_ASSERT(of_workspace == expected);
    }
}

// Paces are sent with every third digest, and a VM may miss any digest.
RC_GTEST_PROP(load_relay, paces_hold_until_a_digest_brings_others, ())
{
    peer_loads       peers;
    server_pace_sums last;
    for (int round = 0; round < 12; ++round)
    {
        vm_work work{.vms = 1};
        work.keeps_paces = round % 3 != 0;
        if (!work.keeps_paces)
        {
            work.paces["engine"].lasting = {round + 1.0, 0};
        }
        if (*rc::gen::inRange(0, 3) == 0)
        {
            continue; // lost
        }
        last = work.keeps_paces ? last : work.paces;
        peers.merge("vm", work, at_ms(1000 + 150 * round));
        RC_ASSERT(peers.paces(at_ms(1000 + 150 * round)) == last);
    }
}

// If a VM's samples of a server counted twice, one slow VM could make it look slow.
RC_GTEST_PROP(load_relay, samples_of_paces_are_counted_once_everywhere, ())
{
    auto   vms = make_fleet(*rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
    double total = 0;
    for (auto& vm : vms)
    {
        auto const    weight = *rc::gen::inRange(0, 9) * 1.0;
        log_sum const sum{weight, -weight / 2};
        vm.own.paces["engine"] = {sum, sum};
        total += weight;
    }
    for (int round = 0; round < 5; ++round)
    {
        publish_all(vms, at_ms(1000 + 150 * round));
    }
    for (auto const& vm : vms)
    {
        auto const others = total - vm.own.paces.at("engine").lasting.weight;
        auto const known = vm.relay.paces(at_ms(1750))["engine"];
        RC_ASSERT(known.lasting == (log_sum{others, -others / 2}));
        RC_ASSERT(known.recent == known.lasting);
    }
}

// A relay fails. Its members receive from the other one, and the failed relay's sums are
// dropped instead of being added.
TEST(load_relay, members_continue_with_the_other_relay)
{
    auto vms = make_fleet(2, 8);
    for (auto& vm : vms)
    {
        vm.own.loads["engine"].running = 1;
    }
    publish_all(vms, at_ms(1000));
    auto const dead = std::find_if(vms.begin(), vms.end(),
                                   [](simulated_vm const& vm) { return vm.plan.relay; });
    vms.erase(dead);
    for (int round = 0; round < 12; ++round)
    {
        publish_all(vms, at_ms(1150 + 150 * round));
    }
    for (auto const& vm : vms)
    {
        EXPECT_EQ(vm.relay.at("engine", at_ms(2900)).running, 14) << vm.contact.digests;
    }
}

// All relays of a data centre stop publishing. Old sums must not affect routing for ever.
TEST(load_relay, sums_without_updates_expire)
{
    auto vms = make_fleet(1, 12);
    for (auto& vm : vms)
    {
        vm.own.loads["engine"].running = 1;
    }
    publish_all(vms, at_ms(1000));
    publish_all(vms, at_ms(1150));
    auto const member = std::find_if(
        vms.begin(), vms.end(), [](simulated_vm const& vm) { return !vm.plan.relay; });
    ASSERT_NE(member, vms.end());
    EXPECT_EQ(member->relay.at("engine", at_ms(1200)).running, 11);
    EXPECT_EQ(member->relay.at("engine", at_ms(2500)).running, 0);
}

} // namespace
} // namespace marigoldcrank
