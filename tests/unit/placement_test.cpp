// Placement of model calls that consider a few of thousands of engines.
#include "policy/placement.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// The engines that a call drew by chance must not take the place of the one to which all
// VMs send this prompt, or each VM would have its shared parts read at another engine.
TEST(placement, prompt_goes_to_the_rendezvous_engine_of_the_whole_service)
{
    std::vector<backend_server> engines;
    for (int number = 0; number < 8; ++number)
    {
        engines.push_back({.id = "engine-" + std::to_string(number),
                           .data_centre = "centre",
                           .group = "models",
                           .role = engine_role::decode});
    }
    caller_call call;
    call.prompt = {{"shared", 5000}, {"own", 100}};
    for (std::size_t chosen = 0; chosen < engines.size(); ++chosen)
    {
        std::vector<candidate> drawn;
        for (std::size_t number = 0; number < engines.size(); ++number)
        {
            drawn.push_back({.server = &engines[number], .rendezvous = number == chosen});
        }
        for (std::uint64_t tie_break = 0; tie_break < 20; ++tie_break)
        {
            auto const placed = place_model(drawn, call, {}, "centre", tie_break, {});
            ASSERT_TRUE(placed);
            EXPECT_EQ(placed->server, &engines[chosen]);
        }
    }
}

} // namespace
} // namespace marigoldcrank
