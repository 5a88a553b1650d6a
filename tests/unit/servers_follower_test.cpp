// Entries of servers that are removed after reads that failed.
#include "serving/store_followers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <deque>

namespace marigoldcrank::tests
{
namespace
{

constexpr char const* server_id = "i-1";

/// Returns scripted results of reads, then waits.
struct scripted_store
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
        auto const* failure = std::get_if<store_failure>(&result);
        if (answers != nullptr && failure != nullptr && shows_outage(failure->fault))
        {
            answers->sent(boot_clock::now());
            answers->failed(boot_clock::now());
        }
        co_return result;
    }

    boost::asio::awaitable<store_result<keyed_page>> newest(unsigned, std::string,
                                                            std::string)
    {
        co_return keyed_page{.records = {{server_id, "listed", 0}}, .end = 1};
    }

    boost::asio::awaitable<store_result<log_chunk>> read_at_store(unsigned, std::string,
                                                                  std::uint64_t)
    {
        co_return confirmation;
    }

    std::deque<store_result<log_chunk>> reads;
    store_result<log_chunk>             confirmation;
    answer_watch*                       answers = nullptr;
};

/// Records "KEY": the key was removed.
struct removal_codec
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
        return keyed_record{record, std::nullopt, offset};
    }

    static std::optional<serving_rules> rules(std::string const&)
    {
        return std::nullopt;
    }

    static std::optional<backend_server> server(std::string const& id, std::string const&)
    {
        return backend_server{.id = id, .group = "desk"};
    }
};

log_chunk removal()
{
    return {.from = 1, .end = 2, .records = {server_id}};
}

/// Whether a server stays in use after these reads, the last of which removes it.
bool in_use_after(std::deque<store_result<log_chunk>> reads,
                  entry_settings const&               settings = {},
                  std::optional<vms_answer>           others = std::nullopt)
{
    scripted_store store;
    store.reads = std::move(reads);
    entry_state          state{settings, "vm"};
    follow_options const options{
        .servers_pause = millis{10}, .min_retry = millis{10}, .max_retry = millis{10}};
    servers_follower<scripted_store, removal_codec> follower{state, store, options};
    boost::asio::io_context                         loop;
    store.answers = &state.confirmation.answers;
    state.confirmation.read = []() -> boost::asio::awaitable<bool>
    {
        co_return false;
    };
    if (others)
    {
        state.confirmation.ask = [&others]() -> boost::asio::awaitable<vms_answer>
        {
            co_return *others;
        };
    }
    boost::asio::co_spawn(loop, follower.run(), boost::asio::detached);
    auto const end = boot_clock::now() + millis{3000};
    while (!store.reads.empty() && boot_clock::now() < end)
    {
        loop.run_for(millis{10});
    }
    loop.run_for(millis{50});
    EXPECT_TRUE(store.reads.empty());
    return state.servers.servers().count(server_id) > 0;
}

/// The same after a read has failed and the next one removes the server.
bool in_use_after(store_fault fault, entry_settings const& settings = {})
{
    return in_use_after({store_failure{fault, 0}, removal()}, settings);
}

// A relay's silence was taken for an outage of the store.
TEST(servers_follower, removed_server_is_not_kept_after_relays_were_silent)
{
    EXPECT_FALSE(in_use_after(store_fault::not_asked));
}

// Becoming a relay, or being behind one, was taken for an outage of the store.
TEST(servers_follower, removed_server_is_not_kept_after_changes_were_trimmed)
{
    EXPECT_FALSE(in_use_after(store_fault::trimmed));
}

// A relay's reply that had been under way while the store was read undid what the store
// had told.
TEST(servers_follower, late_reply_of_a_relay_does_not_undo_a_confirmation)
{
    scripted_store                                  store;
    entry_state                                     state{entry_settings{}, "vm"};
    servers_follower<scripted_store, removal_codec> follower{
        state, store, {.servers_pause = millis{10}}};
    boost::asio::io_context loop;
    boost::asio::co_spawn(loop, follower.run(), boost::asio::detached);
    loop.run_for(millis{30}); // listed; waits for a relay
    state.servers.put({.id = "i-2", .group = "desk"});
    store.confirmation = log_chunk{.from = 1, .end = 3, .records = {"i-1", "i-3"}};
    bool confirmed = false;
    auto confirm = [&]() -> boost::asio::awaitable<void>
    {
        confirmed = co_await follower.confirm();
    };
    boost::asio::co_spawn(loop, confirm(), boost::asio::detached);
    loop.restart();
    loop.run_for(millis{30});
    EXPECT_TRUE(confirmed);
    EXPECT_EQ(state.servers.servers().count(server_id), 0U);
    EXPECT_LT(state.servers.age(boot_clock::now()), millis{500});
    // Offset 1 is older than what has been applied.
    store.reads = {log_chunk{.from = 1, .end = 2, .records = {"i-2"}, .relayed = true}};
    loop.restart();
    loop.run_for(millis{100});
    EXPECT_TRUE(store.reads.empty());
    EXPECT_EQ(state.servers.servers().count("i-2"), 1U);
}

// Servers can't renew their entries during an outage, so all of them would be lost.
TEST(servers_follower, removed_server_is_kept_after_the_store_was_away)
{
    entry_settings renewed;
    renewed.renewal = millis{1}; // several times in the outage
    EXPECT_TRUE(in_use_after(store_fault::unreachable, renewed));
    EXPECT_TRUE(in_use_after(store_fault::no_response, renewed));
    EXPECT_TRUE(in_use_after(store_fault::refused, renewed));
}

// The store refused the VM that reads it for the others. They took that for an outage,
// though they got the removal from it through another VM.
TEST(servers_follower, removed_server_is_not_kept_while_another_vm_has_lost_the_store)
{
    log_chunk const told{.from = 1, .end = 1, .relayed = true, .store_lost = true};
    auto            relayed = removal();
    relayed.relayed = true;
    EXPECT_FALSE(in_use_after({told, relayed}));
    relayed.store_lost = true;
    EXPECT_FALSE(in_use_after({relayed}));
    EXPECT_FALSE(in_use_after({told, relayed}));
}

// A gap in the news of a VM counted as an outage if a relay said that it had lost the
// store, and servers that had left got requests for two seconds more.
TEST(servers_follower, removed_server_is_kept_on_the_word_of_a_relay_without_the_store)
{
    entry_settings renewed;
    renewed.renewal = millis{1}; // several times in the gap
    log_chunk const told{.from = 1, .end = 1, .relayed = true, .store_lost = true};
    auto            relayed = removal();
    relayed.relayed = true;
    EXPECT_FALSE(in_use_after({told, relayed}, renewed));
}

// The VM's own reads had failed, and nobody had said that the store was away for others.
TEST(servers_follower, removed_server_is_kept_after_a_failure_of_this_vm_alone)
{
    entry_settings renewed;
    renewed.renewal = millis{1};
    renewed.leave_bound = millis{10}; // over while reads fail
    std::deque<store_result<log_chunk>> const reads{
        store_failure{store_fault::no_response, 0},
        store_failure{store_fault::no_response, 0},
        store_failure{store_fault::no_response, 0}, removal()};
    EXPECT_FALSE(in_use_after(reads, renewed, vms_answer::none_newer));
    EXPECT_FALSE(in_use_after(reads, renewed, vms_answer::silent));
    EXPECT_TRUE(in_use_after(reads, renewed, vms_answer::store_lost));
}

// One failed read was taken for an outage in which entries expire.
TEST(servers_follower, removed_server_is_not_kept_after_one_failed_read)
{
    EXPECT_FALSE(in_use_after(store_fault::unreachable));
    EXPECT_FALSE(in_use_after(store_fault::no_response));
    EXPECT_FALSE(in_use_after(store_fault::refused));
}

} // namespace
} // namespace marigoldcrank::tests
