// Server states that the directory gives to routing.
#include "app/server_directory.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

TEST(server_directory, forgets_a_server_in_the_group_it_left)
{
    server_directory directory;
    directory.replace({{.id = "engine-1", .group = "wording"}});
    directory.replace({{.id = "engine-1", .group = "claims"}});
    EXPECT_TRUE(directory.group("wording").empty());
    EXPECT_EQ(directory.group("claims").size(), 1U);
}

TEST(server_directory, marks_a_server_leaving_if_any_source_says_so)
{
    server_directory     directory;
    backend_server const server{
        .id = "engine-1", .data_centre = "dc-1", .group = "wording"};
    directory.replace({server});
    EXPECT_FALSE(directory.group("wording")[0].server.leaving);
    directory.report(server, {.leaving = true});
    EXPECT_TRUE(directory.group("wording")[0].server.leaving);
    directory.report(server, {});
    directory.set_drains({.revision = 1, .data_centres = {"dc-1"}});
    EXPECT_TRUE(directory.group("wording")[0].server.leaving);
    // Reading the list again must not undo the drain.
    directory.replace({server});
    EXPECT_TRUE(directory.all()[0].leaving);
    directory.set_drains({.revision = 2});
    EXPECT_FALSE(directory.all()[0].leaving);
}

// The last report of a frozen engine gets old until the engine looks idle. It would then
// attract every new request, and each would wait for the silence timeout.
TEST(server_directory, a_server_without_reports_is_the_last_choice)
{
    server_directory     directory;
    backend_server const frozen{.id = "frozen", .group = "wording"};
    backend_server const busy{.id = "busy", .group = "wording"};
    directory.replace({frozen, busy});
    auto const now = boot_clock::now();
    directory.report(frozen, {.read_at = now});
    directory.report(busy, {.running = 20, .prefill_tokens = 2000, .read_at = now});
    auto const chosen = [&]
    {
        return choose_server(directory.group("wording"), {.group = "wording"}, now)
            .chosen->id;
    };
    EXPECT_EQ(chosen(), "frozen");
    directory.missed_report(frozen);
    EXPECT_EQ(chosen(), "busy");
    directory.report(frozen, {.read_at = now});
    EXPECT_EQ(chosen(), "frozen");
}

} // namespace
} // namespace marigoldcrank
