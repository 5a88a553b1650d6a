// Digests of other VMs as they are read: their numbers may be anything.
#include "serving/digest_link.hpp"
#include "support/port_block.hpp"

#include <gtest/gtest.h>
#include <zmq.hpp>

#include <cmath>
#include <limits>
#include <optional>
#include <string>

namespace marigoldcrank
{
namespace
{

constexpr auto not_a_number = std::numeric_limits<double>::quiet_NaN();
constexpr auto infinite = std::numeric_limits<double>::infinity();

/// Two VMs, of which one publishes and the other one receives.
class linked_vms
{
public:
    linked_vms()
    {
        receiver_.follow({address_}, {digest_scope::vm, digest_scope::centre});
    }

    /// The digest as the other VM receives it; nothing if it doesn't arrive.
    std::optional<load_digest> send(load_digest const& digest)
    {
        received_.reset();
        auto const limit = boot_clock::now() + millis{10000};
        while (!received_ && boot_clock::now() < limit)
        {
            sender_.publish(digest, {});
            loop_.run_for(millis{20});
            loop_.restart();
            receiver_.receive_pending();
        }
        return received_;
    }

private:
    static void ignore(digest_scope, std::vector<send_notice> const&) {}

    std::string next_address()
    {
        return std::string{"127.0.0.1:"}.append(std::to_string(ports_.next()));
    }

    tests::port_block          ports_;
    std::string                address_ = next_address();
    boost::asio::io_context    loop_;
    zmq::context_t             context_{1};
    std::optional<load_digest> received_;
    digest_link                sender_{loop_, context_, address_,
                        [](load_digest, digest_extras const&) {}, ignore};
    digest_link                receiver_{loop_, context_, next_address(),
                          [this](load_digest digest, digest_extras const&)
                          { received_ = std::move(digest); },
                          ignore};
};

// A VM that measures wrongly must not turn the sums of the whole fleet into NaN: no VM
// would place or order anything by its demand.
TEST(digest_link, demands_that_are_no_numbers_count_as_0)
{
    linked_vms        vms;
    work_demand const sound{
        .prompt_rate = 500, .prefill_speed = 4000, .colocated_speed = 2000, .streams = 3};
    load_digest digest{.vm = "v", .data_centre = "a"};
    digest.work.demands = {
        {"nan", {not_a_number, not_a_number, not_a_number, not_a_number}},
        {"infinite", {infinite, infinite, infinite, infinite}},
        {"negative", {-1, -infinite, -1e300, -1e-300}},
        {"sound", sound}};
    digest.work.works["sound"].ranks = {{0, {.offered = infinite}},
                                        {1, {.offered = not_a_number}}};
    auto const received = vms.send(digest);
    ASSERT_TRUE(received);
    auto const& demands = received->work.demands;
    for (auto const* name : {"nan", "infinite", "negative"})
    {
        EXPECT_EQ(demands.at(name), work_demand{}) << name;
        auto sum = sound;
        sum.add(demands.at(name));
        EXPECT_EQ(sum, sound) << name;
    }
    EXPECT_EQ(demands.at("sound"), sound);
    EXPECT_EQ(received->work.works.at("sound").ranks.at(0).offered, 0);
    EXPECT_EQ(received->work.works.at("sound").ranks.at(1).offered, 0);
}

// Quotients and means of rates and speeds stay finite too.
TEST(digest_link, demands_beyond_all_engines_are_bounded)
{
    linked_vms        vms;
    constexpr auto    most = std::numeric_limits<double>::max();
    constexpr auto    least = std::numeric_limits<double>::denorm_min();
    work_demand const sound{
        .prompt_rate = 500, .prefill_speed = 4000, .colocated_speed = 2000, .streams = 3};
    load_digest digest{.vm = "v", .data_centre = "a"};
    digest.work.demands = {{"most", {most, most, most, most}},
                           {"least", {most, least, least, least}}};
    auto const received = vms.send(digest);
    ASSERT_TRUE(received);
    for (auto const& [name, demand] : received->work.demands)
    {
        auto sum = demand;
        sum.add(sound);
        auto other = sound;
        other.add(demand);
        for (auto const& each : {demand, sum, other})
        {
            EXPECT_TRUE(std::isfinite(each.prompt_rate)) << name;
            EXPECT_TRUE(std::isfinite(each.prefill_engines().value_or(0))) << name;
            EXPECT_TRUE(std::isfinite(each.prefill_speed.value_or(0))) << name;
            EXPECT_TRUE(std::isfinite(each.colocated_speed.value_or(0))) << name;
            EXPECT_TRUE(std::isfinite(each.streams)) << name;
        }
    }
}

// The sums of such loads over 300 VMs must not overflow: the engine would look idle.
TEST(digest_link, loads_are_bounded)
{
    linked_vms     vms;
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    load_digest    digest{.vm = "v", .data_centre = "a"};
    digest.work.vms = most;
    digest.work.loads = {{"e", {most, most}}, {"f", {4, 5000}}};
    auto const received = vms.send(digest);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->work.loads.at("e"), (server_load{1000000000, 1000000000}));
    EXPECT_EQ(received->work.loads.at("f"), (server_load{4, 5000}));
    EXPECT_EQ(received->work.vms, 1000000000);
}

// One VM must not outweigh all others with its samples; a relay's sum may.
TEST(digest_link, paces_of_one_vm_are_bounded)
{
    linked_vms    vms;
    log_sum const heavy{50000, 25000};
    load_digest   digest{.vm = "v", .data_centre = "a"};
    digest.work.paces = {{"e", {heavy, heavy}}, {"f", {{8, -4}, {2, 1}}}};
    auto const of_vm = vms.send(digest);
    ASSERT_TRUE(of_vm);
    EXPECT_EQ(of_vm->work.paces.at("e").lasting, (log_sum{1000, 500}));
    EXPECT_EQ(of_vm->work.paces.at("e").recent, (log_sum{1000, 500}));
    EXPECT_EQ(of_vm->work.paces.at("f"), (pace_sums{{8, -4}, {2, 1}}));
    digest.scope = digest_scope::centre;
    auto of_centre = vms.send(digest);
    for (int tries = 0; tries < 8 && of_centre && of_centre->scope != digest.scope;
         ++tries)
    {
        of_centre = vms.send(digest); // an earlier one was still on its way
    }
    ASSERT_TRUE(of_centre);
    EXPECT_EQ(of_centre->work.paces.at("e").lasting, heavy);
}

} // namespace
} // namespace marigoldcrank
