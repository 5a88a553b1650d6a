// Remembered answers about the rules are those of the version that is asked for.
#include "policy/rules_memo.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace marigoldcrank
{
namespace
{

std::string some_service()
{
    return *rc::gen::element<std::string>("m", "n", "o");
}

std::shared_ptr<serving_rules const> some_rules()
{
    std::vector<route> routes;
    auto const         count = *rc::gen::inRange(0, 4);
    for (int index = 0; index < count; ++index)
    {
        routes.push_back({.targets = {{some_service()}, {some_service()}},
                          .objective = millis{*rc::gen::element(0, 100, 500)},
                          .rank = *rc::gen::inRange(0, 3)});
    }
    std::vector<workspace> workspaces;
    if (*rc::gen::inRange(0, 2) == 1)
    {
        workspaces.push_back({.name = "w", .rank = *rc::gen::inRange(-1, 3)});
    }
    return std::make_shared<serving_rules const>(
        1, std::move(routes), std::vector<service>{}, std::move(workspaces), true,
        caller_limits{});
}

// New rules take effect at once, and calls admitted by earlier ones still go by these.
// The versions are dropped in between, so that a new one may get the address of another.
RC_GTEST_PROP(rules_memo, answers_are_those_of_the_rules_asked_for, ())
{
    rules_memo                                        memo;
    std::vector<std::shared_ptr<serving_rules const>> versions{some_rules(),
                                                               some_rules()};
    auto const                                        steps = *rc::gen::inRange(1, 20);
    for (int step = 0; step < steps; ++step)
    {
        auto& rules = versions[*rc::gen::inRange<std::size_t>(0, 2)];
        if (*rc::gen::inRange(0, 3) == 0)
        {
            rules.reset();
            rules = some_rules();
        }
        auto const service = some_service();
        auto const rank = *rc::gen::inRange(0, 3);
        auto const objective = millis{*rc::gen::element(0, 100, 500)};
        RC_ASSERT(memo.scale(rules) == scale_of(*rules));
        RC_ASSERT(memo.kinds(rules, service) == kinds_of(*rules, service));
        RC_ASSERT(memo.yields(rules, service, rank, objective) ==
                  yields_to_others(*rules, service, rank, objective));
    }
}

} // namespace
} // namespace marigoldcrank
