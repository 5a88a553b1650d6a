// Settings of an entry VM: which keys are read, which values are refused, and the error
// that names them.
#include "domain/entry_settings.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace marigoldcrank
{
namespace
{

std::string const good =
    "[node]\nname = vm\ndata_centre = here\ncallers = 10.0.0.1:80\nreadiness = "
    "10.0.0.1:81\n"
    "metrics =\nfrom_the_future = 7\n[platform]\nstore = 10.0.0.2:90\n"
    "[bounds]\ngrace_s = 8.5\nkeys_fail_closed = false\nretry_ratio = 0.2\n[new]\na = "
    "b\n";

std::optional<setting_failure> failure_of(std::string const& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<setting_failure>>
        {
            BOOST_LEAF_CHECK(parse_entry_settings(text, "f"));
            return std::nullopt;
        },
        [](setting_failure const& failure) { return std::optional{failure}; },
        [] { return std::optional{setting_failure{}}; });
}

std::string with(std::string const& from, std::string const& to)
{
    auto text = good;
    return text.replace(text.find(from), from.size(), to);
}

TEST(entry_settings, known_keys_are_read_and_unknown_keys_ignored)
{
    ASSERT_FALSE(failure_of(good));
    auto const value = leaf::try_handle_all(
        [&] { return parse_entry_settings(good, "f"); }, [] { return entry_settings{}; });
    EXPECT_EQ(value.callers, (socket_address{"10.0.0.1", 80}));
    EXPECT_EQ(value.metrics.port, 0);
    EXPECT_EQ(value.grace, millis{8500});
    EXPECT_EQ(value.retry_percent, 20);
    EXPECT_FALSE(value.keys_fail_closed);
    EXPECT_EQ(value.lease, millis{3000});
}

// The time of day is divided by a window's length: one of 0 ended the process.
TEST(entry_settings, usage_window_without_a_length_is_refused)
{
    for (auto const* length : {"0", "0.0001", "0.09", "-1"})
    {
        auto const failure =
            failure_of(with("grace_s = 8.5", std::string{"usage_window_s = "} + length));
        ASSERT_TRUE(failure) << length;
        EXPECT_EQ(failure->key, "usage_window_s");
    }
    EXPECT_FALSE(failure_of(with("grace_s = 8.5", "usage_window_s = 0.1")));
}

// Counts of windows of two lengths can't be told apart; other VMs know this one by its
// addresses.
TEST(entry_settings,
     what_a_process_was_started_with_stays_when_it_reads_its_settings_anew)
{
    entry_settings const running{.name = "a", .callers = {"10.0.0.1", 80}};
    entry_settings const loaded{
        .name = "b", .usage_window = millis{100}, .retry_slack = 7};
    auto const value = reloaded_settings(running, loaded);
    EXPECT_EQ(value.name, "a");
    EXPECT_EQ(value.callers, running.callers);
    EXPECT_EQ(value.usage_window, running.usage_window);
    EXPECT_EQ(value.retry_slack, 7);
}

TEST(entry_settings, learned_prefill_times_are_shared_unless_switched_off)
{
    EXPECT_TRUE(entry_settings{}.share_prefill_times);
    auto const off = good + "[policy]\nshare_learned = false\n";
    auto const value = leaf::try_handle_all(
        [&] { return parse_entry_settings(off, "f"); }, [] { return entry_settings{}; });
    EXPECT_FALSE(value.share_prefill_times);
}

TEST(entry_settings, paces_are_followed_unless_switched_off)
{
    EXPECT_TRUE(entry_settings{}.paces);
    auto const off = good + "[policy]\npaces = false\n";
    auto const value = leaf::try_handle_all(
        [&] { return parse_entry_settings(off, "f"); }, [] { return entry_settings{}; });
    EXPECT_FALSE(value.paces);
    auto const refused = failure_of(good + "[policy]\npaces = 2\n");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->key, "paces");
}

TEST(entry_settings, bounds_of_the_queue_of_calls_are_checked)
{
    EXPECT_FALSE(failure_of(good + "[policy]\nqueue_calls = 1\nlevel = true\n"));
    for (auto const* const line :
         {"queue_calls = 0", "queue_calls = 10001", "queue_calls = 1.5",
          "queue_calls = many", "queue_bytes = 65535", "queue_bytes = 1073741825"})
    {
        auto const failure = failure_of(good + "[policy]\n" + line + "\n");
        ASSERT_TRUE(failure) << line;
        EXPECT_EQ(failure->fault, setting_fault::out_of_range) << line;
        EXPECT_EQ(failure->section, "policy") << line;
        EXPECT_FALSE(failure->allowed.empty()) << line;
    }
}

TEST(entry_settings, a_missing_required_key_is_reported)
{
    auto const failure = failure_of(with("store = 10.0.0.2:90", ""));
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->fault, setting_fault::missing);
    EXPECT_EQ(failure->key, "store");
    EXPECT_EQ(failure->allowed, "IP:PORT");
}

TEST(entry_settings, invalid_values_are_refused_with_their_key)
{
    struct bad_value
    {
        char const* from;
        char const* to;
        char const* key;
    };
    for (auto const& bad :
         {bad_value{"grace_s = 8.5", "grace_s = -1", "grace_s"},
          bad_value{"grace_s = 8.5", "grace_s = nan", "grace_s"},
          bad_value{"grace_s = 8.5", "grace_s = 8.5s", "grace_s"},
          bad_value{"grace_s = 8.5", "grace_s = 1e99", "grace_s"},
          bad_value{"= false", "= maybe", "keys_fail_closed"},
          bad_value{"callers = 10.0.0.1:80", "callers = 10.0.0.1", "callers"},
          bad_value{"callers = 10.0.0.1:80", "callers = :80", "callers"},
          bad_value{"callers = 10.0.0.1:80", "callers = a:65536", "callers"},
          bad_value{"retry_ratio = 0.2", "retry_ratio = x", "retry_ratio"},
          bad_value{"[new]", "[policy]\nheld_bytes = 1000\n[new]", "held_bytes"},
          bad_value{"[new]", "[policy]\ncaller_bytes = 0\n[new]", "caller_bytes"},
          bad_value{"[new]", "[policy]\ncaller_stall_ms = 499\n[new]", "caller_stall_ms"},
          bad_value{"[new]", "[policy]\ncaller_full_stall_ms = 60001\n[new]",
                    "caller_full_stall_ms"},
          bad_value{"[new]", "[policy]\nidle_connections = 7\n[new]", "idle_connections"},
          bad_value{"name = vm", "name = vm\nmemory = 31", "memory"},
          bad_value{"[new]",
                    "[node]\nmemory = 120\n[policy]\nheld_bytes = 60000001\n[new]",
                    "held_bytes"}})
    {
        auto const failure = failure_of(with(bad.from, bad.to));
        ASSERT_TRUE(failure) << bad.to;
        EXPECT_EQ(failure->fault, setting_fault::out_of_range) << bad.to;
        EXPECT_EQ(failure->key, bad.key) << bad.to;
    }
}

} // namespace
} // namespace marigoldcrank
