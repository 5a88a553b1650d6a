// As of when the rules are known, by reads that reach their topic's end and others.
#include "serving/store_followers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <deque>

namespace marigoldcrank::tests
{
namespace
{

/// Returns scripted results of reads, then waits.
struct scripted_rules
{
    boost::asio::awaitable<store_result<std::uint64_t>>
    append(unsigned, std::string, std::vector<std::string>, std::optional<std::uint64_t>)
    {
        co_return store_failure{};
    }

    boost::asio::awaitable<store_result<log_chunk>>
    read(unsigned, std::string, std::uint64_t, millis, std::size_t = default_read_kb)
    {
        while (reads.empty())
        {
            co_await loop_sleep(millis{5});
        }
        auto result = std::move(reads.front());
        reads.pop_front();
        co_return result;
    }

    boost::asio::awaitable<store_result<keyed_page>> newest(unsigned, std::string,
                                                            std::string)
    {
        co_return keyed_page{.records = {{"rules", "1", 0}}, .end = 1};
    }

    std::deque<store_result<log_chunk>> reads;
};

/// A record is the number of its version.
struct number_codec
{
    static std::string rules_topic()
    {
        return "rules";
    }

    static std::string rules_key()
    {
        return "rules";
    }

    static std::string servers_topic()
    {
        return "servers";
    }

    static std::optional<keyed_record> keyed(std::string const& record,
                                             std::uint64_t      offset)
    {
        return keyed_record{"rules", record, offset};
    }

    static std::optional<serving_rules> rules(std::string const& text)
    {
        return serving_rules{std::stoull(text), {}, {}, {}, true, {}};
    }

    static std::optional<backend_server> server(std::string const&, std::string const&)
    {
        return std::nullopt;
    }
};

/// A VM that follows the rules; its keys are fresh for 400 ms after they were known.
struct following_vm
{
    following_vm()
    {
        boost::asio::co_spawn(loop, follower.run(), boost::asio::detached);
    }

    void run_for(millis time)
    {
        loop.restart();
        loop.run_for(time);
    }

    /// Returns to the store: a read fails, and the next one, sent after it, is answered.
    void return_to(log_chunk chunk)
    {
        store.reads = {store_failure{}, std::move(chunk)};
        run_for(millis{40});
    }

    void read(log_chunk chunk)
    {
        store.reads.push_back(std::move(chunk));
        run_for(millis{10});
    }

    bool fresh() const
    {
        return state.keys_fresh(boot_clock::now());
    }

    static entry_settings short_lived_keys()
    {
        entry_settings settings;
        settings.key_life = millis{500};
        settings.keys_fail_closed = true;
        return settings;
    }

    scripted_rules                               store;
    entry_state                                  state{short_lived_keys(), "vm"};
    rules_follower<scripted_rules, number_codec> follower{
        state, store, {.min_retry = millis{10}, .max_retry = millis{10}}};
    boost::asio::io_context loop;
};

// A VM that returned to a backlog counted its keys as fresh after the first part of it,
// and a key that a later part withdrew went on working.
TEST(rules_follower, keys_are_not_fresh_before_the_end_of_a_backlog_is_read)
{
    following_vm vm;
    vm.run_for(millis{20});
    EXPECT_TRUE(vm.fresh()); // listed
    vm.run_for(millis{420});
    EXPECT_FALSE(vm.fresh());
    vm.return_to({.from = 1, .end = 5, .records = {"2", "3"}});
    EXPECT_EQ(vm.state.view.rules->version(), 3U);
    EXPECT_FALSE(vm.fresh());
    vm.read({.from = 3, .end = 5, .records = {"4", "5"}});
    EXPECT_EQ(vm.state.view.rules->version(), 5U);
    EXPECT_TRUE(vm.fresh());
}

// The same with parts that another VM passes on.
TEST(rules_follower, relayed_parts_of_a_backlog_make_no_keys_fresh)
{
    following_vm vm;
    vm.run_for(millis{420});
    vm.return_to({.from = 1, .end = 9, .records = {"2"}, .relayed = true});
    EXPECT_FALSE(vm.fresh());
    vm.read({.from = 2,
             .end = 9,
             .records = {"9"},
             .relayed = true,
             .offsets = {8},
             .covered = 9});
    EXPECT_TRUE(vm.fresh());
}

} // namespace
} // namespace marigoldcrank::tests
