// The decision whether this VM's links to the servers of a service are lost.
#include "policy/link_watch.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace marigoldcrank::tests
{
namespace
{

constexpr boot_clock::time_point start{millis{100'000}};
constexpr auto                   refused = link_failure::refused;
constexpr auto                   timed_out = link_failure::timed_out;

boot_clock::time_point at(int ms)
{
    return start + millis{ms};
}

/// Records failures of these servers, 100 ms apart, of a service with `servers` servers.
link_watch after_failures(std::vector<std::string> const& failed, std::size_t servers,
                          link_failure failure = refused)
{
    link_watch watch;
    for (std::size_t index = 0; index < failed.size(); ++index)
    {
        auto const now = at(static_cast<int>(index) * 100);
        watch.record_failure(failed[index], servers, failure, now, now);
    }
    return watch;
}

// A crashed server would move all calls of its service to other VMs.
TEST(link_watch, one_server_that_fails_again_and_again_is_no_lost_link)
{
    EXPECT_FALSE(after_failures({"a", "a", "a", "a"}, 9).lost());
}

// Calls waited for one connect after the other although none could succeed.
TEST(link_watch, failures_of_distinct_servers_without_a_connection_are_a_lost_link)
{
    EXPECT_TRUE(after_failures({"a", "b"}, 9).lost());
}

// A service of one server never had a second one to fail.
TEST(link_watch, all_servers_of_a_small_service_suffice)
{
    EXPECT_TRUE(after_failures({"a"}, 1).lost());
    EXPECT_FALSE(after_failures({"a"}, 2).lost());
}

// Two servers crashed while the others went on.
TEST(link_watch, connection_in_between_counts_against_a_lost_link)
{
    auto watch = after_failures({"a"}, 9);
    watch.record_connection("d");
    EXPECT_FALSE(watch.record_failure("b", 9, refused, at(200), at(200)));
    EXPECT_FALSE(watch.lost());
}

// Failures that are minutes apart have nothing to do with each other.
TEST(link_watch, failures_far_apart_do_not_count_together)
{
    auto watch = after_failures({"a"}, 9);
    EXPECT_FALSE(watch.record_failure("b", 9, refused, at(2500), at(2500)));
}

// Calls went back to links that had let a single connection through.
TEST(link_watch, links_are_restored_by_two_connections_in_a_row)
{
    auto watch = after_failures({"a", "b"}, 9);
    EXPECT_FALSE(watch.record_connection("d"));
    watch.record_failure("c", 9, refused, at(700), at(700));
    EXPECT_FALSE(watch.record_connection("d"));
    EXPECT_TRUE(watch.lost());
    EXPECT_TRUE(watch.record_connection("d"));
    EXPECT_FALSE(watch.lost());
}

// Open connections that lived on were thrown away because new ones were refused.
TEST(link_watch, refused_connections_say_nothing_about_open_ones)
{
    EXPECT_FALSE(after_failures({"a", "b"}, 9).may_be_silent(at(-5000)));
}

// Calls waited on connections that had become silent with the links.
TEST(link_watch, open_connections_may_be_silent_while_connects_time_out)
{
    auto const watch = after_failures({"a", "b"}, 9, timed_out);
    EXPECT_TRUE(watch.may_be_silent(at(-1)));
    EXPECT_FALSE(watch.may_be_silent(at(50))); // responded after the first failure began
}

// A server that nobody reaches was tried by every call, each time until a timeout.
TEST(link_watch, failures_are_remembered_for_the_window)
{
    auto watch = after_failures({"a", "b"}, 9);
    EXPECT_FALSE(watch.begin_attempt("a", at(1900)));
    EXPECT_TRUE(watch.begin_attempt("a", at(2100)));
    EXPECT_TRUE(watch.begin_attempt("c", at(0)));
}

/// Links of which four have timed out.
link_watch hanging_links()
{
    auto watch = after_failures({"a", "b"}, 9, timed_out);
    watch.record_failure("f", 9, timed_out, at(100), at(100));
    watch.record_failure("g", 9, timed_out, at(100), at(100));
    return watch;
}

// Each call waited for a timeout of its own.
TEST(link_watch, links_that_hang_are_tried_one_at_a_time)
{
    auto watch = hanging_links();
    EXPECT_TRUE(watch.begin_attempt("c", at(100)));
    EXPECT_FALSE(watch.begin_attempt("d", at(200)));
    EXPECT_TRUE(watch.begin_attempt("d", at(1200)));
    watch.begin_probe(at(2000));
    EXPECT_FALSE(watch.begin_attempt("e", at(2900)));
    EXPECT_TRUE(watch.begin_attempt("e", at(3100)));
}

// Calls were refused because two servers had crashed, although the others were reachable.
TEST(link_watch, two_servers_that_hang_do_not_keep_calls_from_the_others)
{
    auto watch = after_failures({"a", "b"}, 9, timed_out);
    watch.begin_probe(at(100));
    EXPECT_TRUE(watch.begin_attempt("c", at(100)));
    EXPECT_TRUE(watch.begin_attempt("d", at(100)));
    EXPECT_FALSE(watch.begin_attempt("a", at(100)));
}

// A service was refused although some of its servers could be reached.
TEST(link_watch, servers_reached_since_the_loss_are_tried)
{
    auto watch = hanging_links();
    watch.record_connection("c");
    for (auto const* server : {"a", "b", "f", "g"})
    {
        watch.record_failure(server, 9, timed_out, at(300), at(300));
    }
    watch.begin_probe(at(300));
    EXPECT_TRUE(watch.begin_attempt("c", at(300)));
    EXPECT_FALSE(watch.begin_attempt("d", at(300)));
    watch.record_failure("c", 9, timed_out, at(400), at(400));
    EXPECT_FALSE(watch.begin_attempt("c", at(500)));
}

} // namespace
} // namespace marigoldcrank::tests
