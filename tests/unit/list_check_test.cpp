// Tests the check of the list of servers when a request is written.
#include "policy/list_age.hpp"
#include "serving/entry_state.hpp"
#include "serving/loop_sleep.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank
{
namespace
{

constexpr char const* server_id = "i-1";

/// A VM whose list of servers is of this age, and what a read of the store does.
struct checked_vm
{
    explicit checked_vm(millis list_age)
    {
        state.servers.put({.id = server_id, .group = "desk"});
        state.servers.complete_up_to(boot_clock::now() - list_age);
        state.confirmation.read = [this]() -> boost::asio::awaitable<bool>
        {
            ++reads;
            state.confirmation.answers.sent(boot_clock::now());
            co_await loop_sleep(read_takes);
            record_answer();
            if (store_answers && leaves)
            {
                state.servers.mark_leaving(server_id);
            }
            if (store_answers)
            {
                state.servers.complete_up_to(boot_clock::now());
            }
            co_return store_answers;
        };
    }

    void record_answer()
    {
        if (store_answers)
        {
            state.confirmation.answers.answered();
        }
        else
        {
            state.confirmation.answers.failed(boot_clock::now());
        }
    }

    /// Gives the VM others to ask, which answer so.
    void ask_others(vms_answer answer)
    {
        others = answer;
        state.confirmation.ask = [this]() -> boost::asio::awaitable<vms_answer>
        {
            co_await loop_sleep(millis{2});
            if (others == vms_answer::newer)
            {
                state.servers.mark_leaving(server_id);
                state.servers.complete_up_to(boot_clock::now());
            }
            co_return others;
        };
    }

    /// Whether all of `count` requests that are written at once may be.
    bool may_write(int count = 1)
    {
        bool all = true;
        auto check = [&]() -> boost::asio::awaitable<void>
        {
            verdict = co_await may_write_to(state, server_id);
            all = verdict == write_verdict::write && all;
            --pending;
        };
        pending = count;
        for (int each = 0; each < count; ++each)
        {
            boost::asio::co_spawn(loop, check(), boost::asio::detached);
        }
        loop.restart();
        while (pending > 0)
        {
            loop.run_one();
        }
        return all;
    }

    boost::asio::io_context loop;
    entry_state             state{entry_settings{}, "vm"};
    millis                  read_takes{5};
    bool                    store_answers = true;
    bool                    leaves = false;
    vms_answer              others = vms_answer::no_vms;
    write_verdict           verdict = write_verdict::write; // the last one
    int                     reads = 0;
    int                     pending = 0;
};

// A VM whose news came late sent to a server that had left.
TEST(list_check, old_list_is_confirmed_before_a_request_is_written)
{
    checked_vm fresh(millis{1000});
    fresh.leaves = true;
    EXPECT_TRUE(fresh.may_write());
    EXPECT_EQ(fresh.reads, 0);
    checked_vm old(millis{1900});
    old.leaves = true;
    EXPECT_FALSE(old.may_write(20));
    EXPECT_EQ(old.reads, 1); // for all of them
}

// The server left after it had been chosen, while its connection was opened.
TEST(list_check, server_that_left_since_it_was_chosen_gets_no_request)
{
    checked_vm vm(millis{0});
    EXPECT_TRUE(vm.may_write());
    vm.state.servers.mark_leaving(server_id);
    EXPECT_FALSE(vm.may_write());
    vm.state.servers.drop(server_id, boot_clock::now());
    EXPECT_FALSE(vm.may_write());
    EXPECT_EQ(vm.reads, 0);
}

// A VM that was cut off from the store made each call wait for it.
TEST(list_check, calls_do_not_wait_for_a_store_that_is_away)
{
    checked_vm vm(millis{60'000});
    vm.read_takes = millis{1500};
    vm.store_answers = false;
    auto const began = boot_clock::now();
    EXPECT_TRUE(vm.may_write(10));
    auto const first = boot_clock::now();
    EXPECT_LT(first - began, millis{1200});
    EXPECT_TRUE(vm.may_write(10));
    EXPECT_LT(boot_clock::now() - first, millis{100});
    EXPECT_EQ(vm.reads, 1);
}

// The store was back, and the VM went on as if it were away.
TEST(list_check, list_is_confirmed_again_once_the_store_is_back)
{
    checked_vm vm(millis{60'000});
    vm.store_answers = false;
    EXPECT_TRUE(vm.may_write());
    vm.store_answers = true;
    vm.leaves = true;
    std::this_thread::sleep_for(millis{600}); // the pause after a failure
    EXPECT_FALSE(vm.may_write(10));
    EXPECT_EQ(vm.reads, 2); // one for all of them
}

// After a failure, requests went out beside a read that brought the news 10 ms later.
TEST(list_check, request_goes_to_a_leaving_server_while_a_read_is_in_progress)
{
    checked_vm vm(millis{60'000});
    vm.store_answers = false;
    EXPECT_TRUE(vm.may_write());
    vm.store_answers = true;
    vm.leaves = true;
    vm.read_takes = millis{100};
    std::this_thread::sleep_for(millis{600}); // the pause after a failure
    bool const first = vm.may_write();
    EXPECT_FALSE(first);
    EXPECT_FALSE(vm.may_write());
}

// A list that is old, but not too old for its bound, delays no request after a failure.
TEST(list_check, request_waits_for_the_store_though_its_list_is_new_enough)
{
    checked_vm vm(millis{1500});
    vm.store_answers = false;
    EXPECT_TRUE(vm.may_write());
    vm.read_takes = millis{100};
    std::this_thread::sleep_for(millis{100});
    auto const began = boot_clock::now();
    EXPECT_TRUE(vm.may_write());
    EXPECT_LT(boot_clock::now() - began, millis{50});
}

// A confirmation had failed, and requests went out by a list of any age, though the store
// answered others and the VM itself was only slow.
TEST(list_check, request_goes_out_by_an_old_list_though_the_store_may_have_newer_records)
{
    for (auto const answer : {vms_answer::none_newer, vms_answer::silent})
    {
        checked_vm vm(millis{60'000});
        vm.ask_others(answer);
        vm.store_answers = false;
        vm.leaves = true;
        EXPECT_FALSE(vm.may_write(10));
        EXPECT_EQ(vm.verdict, write_verdict::unconfirmed);
        EXPECT_FALSE(vm.may_write());
    }
    checked_vm slow(millis{60'000});
    slow.ask_others(vms_answer::none_newer);
    slow.read_takes = millis{2000};
    EXPECT_FALSE(slow.may_write());
    EXPECT_EQ(slow.verdict, write_verdict::unconfirmed);
}

// Other VMs knew that the server leaves while the store didn't answer this one.
TEST(list_check, vm_without_the_store_asks_others_before_it_sends)
{
    checked_vm vm(millis{60'000});
    vm.ask_others(vms_answer::newer);
    vm.store_answers = false;
    EXPECT_FALSE(vm.may_write());
    EXPECT_EQ(vm.verdict, write_verdict::left);
}

// A data centre that is cut off, or a store that is down for all, stopped every call.
TEST(list_check, calls_go_on_by_an_old_list_while_the_store_is_away_for_all)
{
    checked_vm vm(millis{60'000});
    vm.ask_others(vms_answer::store_lost);
    vm.store_answers = false;
    auto const began = boot_clock::now();
    EXPECT_TRUE(vm.may_write(10));
    EXPECT_LT(boot_clock::now() - began, millis{600});
}

// A VM that is cut off from everything stopped every call.
TEST(list_check, vm_that_hears_nobody_goes_on_after_a_while)
{
    checked_vm vm(millis{60'000});
    vm.ask_others(vms_answer::silent);
    vm.store_answers = false;
    auto const began = boot_clock::now();
    EXPECT_FALSE(vm.may_write());
    while (!vm.may_write() && boot_clock::now() - began < millis{6000})
    {
    }
    EXPECT_LT(boot_clock::now() - began, millis{4500});
}

TEST(list_check, age_leaves_time_for_the_write)
{
    EXPECT_EQ(max_list_age(millis{2000}), millis{1400});
    EXPECT_EQ(max_list_age(millis{3000}), millis{2100});
    EXPECT_EQ(decide_list_step({.age = millis{1400}, .max_age = millis{1400}}),
              list_step::send);
    EXPECT_EQ(decide_list_step({.age = millis{1401}, .max_age = millis{1400}}),
              list_step::confirm);
}

} // namespace
} // namespace marigoldcrank
