// Tests that paces stay within bounds, whatever VMs sample and whichever digests arrive.
#include "policy/load_relay.hpp"
#include "policy/server_paces.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace marigoldcrank
{
namespace
{

struct simulated_vm
{
    server_paces paces;
    load_relay   relay;
};

std::string server_name(int number)
{
    return "server-" + std::to_string(number);
}

pace_sample any_sample()
{
    return {.server = server_name(*rc::gen::inRange(0, 6)),
            .service = "models",
            .kind = *rc::gen::element<std::string>("prefill", "read"),
            .remote = *rc::gen::arbitrary<bool>(),
            .expected_ms = *rc::gen::inRange(0, 2000) * 1.0,
            .wait_ms = *rc::gen::inRange(0, 2000) * 1.0,
            .took_ms = std::exp(*rc::gen::inRange(-10, 20)),
            .weight = *rc::gen::inRange(0, 100) / 99.0};
}

bool within_bounds(double pace)
{
    auto const most = pace_options{}.max_ratio + 1e-9;
    return std::isfinite(pace) && pace <= most && pace >= 1 / most;
}

// A pace of 0 or infinity would send all calls to one server, or fail each deadline.
RC_GTEST_PROP(server_paces, paces_stay_within_bounds_for_any_order_and_loss_of_digests,
              ())
{
    std::vector<simulated_vm> vms(3);
    std::vector<load_digest>  sent;
    std::int64_t              now_ms = 1000;
    for (std::size_t vm = 0; vm < vms.size(); ++vm)
    {
        // Two relays and a member.
        relay_plan const plan{.mesh = false, .relay = vm < 2};
        vms[vm].relay.follow(plan, "vm-" + std::to_string(vm), "centre");
    }
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        now_ms += *rc::gen::inRange(0, 400);
        boot_clock::time_point const now{millis{now_ms}};
        auto&                        vm = vms[*rc::gen::inRange<std::size_t>(0, 3)];
        vm.paces.record(any_sample(), now);
        if (*rc::gen::inRange(0, 9) == 0)
        {
            vm.paces.forget(server_name(*rc::gen::inRange(0, 6)));
        }
        vm.paces.update(
            vm.relay.paces(now), [](std::string const&) { return "models"; },
            [](std::string const&) { return 6; }, now);
        for (auto& digest : vm.relay.digests({.paces = vm.paces.own(now)}, now))
        {
            if (digest.scope == digest_scope::fleet)
            {
                digest.work.paces = vm.paces.differing(digest.work.paces);
            }
            sent.push_back(std::move(digest));
        }
        // Digests arrive in any order, some never and some twice.
        auto const arrived = *rc::gen::inRange<std::size_t>(0, sent.size());
        vms[*rc::gen::inRange<std::size_t>(0, 3)].relay.merge(sent[arrived], now);
        for (int server = 0; server < 6; ++server)
        {
            RC_ASSERT(within_bounds(vm.paces.pace(server_name(server))));
            RC_ASSERT(within_bounds(vm.paces.lasting(server_name(server))));
        }
    }
}

} // namespace
} // namespace marigoldcrank
