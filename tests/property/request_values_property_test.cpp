// Properties of value types of the request path: state machine, token sequencer, retry
// budget, poison list, call fold.
#include "app/request_state.hpp"
#include "app/token_sequencer.hpp"
#include "ledger/call_fold.hpp"
#include "policy/poison_list.hpp"
#include "policy/retry_budget.hpp"
#include "wire.pb.h"

#include <gtest/gtest.h>

// After GoogleTest, whose names it uses without including it.
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

RC_GTEST_PROP(request_state_value, not_run_only_if_no_attempt_may_have_sent, ())
{
    auto const    choices = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
    request_state state;
    bool          in_progress = false;
    bool          sent = false;
    for (auto const choice : choices)
    {
        auto const step = static_cast<request_step>(choice);
        auto const before = state;
        state = state.after(step);
        if (!before.allows(step))
        {
            RC_ASSERT(state == before);
            continue;
        }
        RC_ASSERT(!before.over());
        bool const proven_unsent = step == request_step::nothing_sent;
        bool const continues = step == request_step::first_token;
        sent = sent || (in_progress && !proven_unsent && !continues);
        in_progress = step == request_step::dispatch || (in_progress && continues);
        RC_ASSERT((state.fate() == call_fate::not_run) == (!sent && !in_progress));
    }
}

/// Events of one attempt as a faulty engine may send them.
std::vector<stream_event> faulty_events(std::uint64_t attempt, std::uint64_t from,
                                        std::uint64_t count)
{
    std::vector<stream_event> events;
    for (auto sequence = from; sequence < count; ++sequence)
    {
        events.push_back({"own", attempt, sequence, std::to_string(sequence)});
    }
    events.push_back({.request_id = "own",
                      .attempt = attempt,
                      .sequence = count,
                      .last = true,
                      .output_tokens = count});
    auto const faults = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::arbitrary<std::size_t>()));
    for (auto const& [fault, where] : faults)
    {
        auto const at = static_cast<std::ptrdiff_t>(where % events.size());
        auto       event = events[static_cast<std::size_t>(at)];
        switch (fault)
        {
        case 0: // doubled
            events.insert(events.begin() + at, event);
            break;
        case 1: // out of order
            std::swap(events[static_cast<std::size_t>(at)], events.front());
            break;
        case 2: // crossed
            event.request_id = "other";
            event.text = "foreign";
            events.insert(events.begin() + at, event);
            break;
        case 3: // late, from an earlier attempt
            event.attempt = attempt - 1;
            event.text = "stale";
            events.insert(events.begin() + at, event);
            break;
        default: // truncated
            events.resize(std::max<std::size_t>(1, static_cast<std::size_t>(at)));
        }
    }
    return events;
}

RC_GTEST_PROP(token_sequencer_value, gives_each_token_once_in_order_and_complete_is_true,
              ())
{
    auto const      count = *rc::gen::inRange<std::uint64_t>(0, 12);
    token_sequencer sequencer("own");
    std::uint64_t   expected = 0;
    for (std::uint64_t attempt = 1; attempt <= 3 && !sequencer.is_complete(); ++attempt)
    {
        sequencer.begin_attempt(attempt);
        for (auto const& event : faulty_events(attempt, sequencer.next(), count))
        {
            for (auto const& token : sequencer.take(event).tokens)
            {
                RC_ASSERT(token == std::to_string(expected));
                ++expected;
            }
        }
        RC_ASSERT(sequencer.next() == expected);
    }
    RC_ASSERT(!sequencer.is_complete() || expected == count);
}

// The buffer of early tokens is full when the missing one arrives.
TEST(token_sequencer_value, missing_token_is_taken_when_the_buffer_is_full)
{
    constexpr std::uint64_t count = 300;
    token_sequencer         sequencer("own");
    sequencer.begin_attempt(1);
    auto const take = [&](std::uint64_t sequence)
    {
        stream_event event;
        event.request_id = "own";
        event.attempt = 1;
        event.sequence = sequence;
        event.text = std::to_string(sequence);
        return sequencer.take(event).tokens.size();
    };
    for (std::uint64_t sequence = 1; sequence < count; ++sequence)
    {
        EXPECT_EQ(take(sequence), 0U);
    }
    EXPECT_EQ(take(0), 257U); // 256 were buffered, later ones were dropped
    EXPECT_EQ(sequencer.next(), 257U);
}

RC_GTEST_PROP(retry_budget_value, retries_stay_under_the_share_and_the_burst, ())
{
    retry_budget_options const options{.percent = *rc::gen::inRange(0, 101),
                                       .burst = *rc::gen::inRange(0, 20)};
    auto const steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    retry_budget budget(options);
    std::int64_t admitted = 0;
    std::int64_t retried = 0;
    for (bool const admit : steps)
    {
        if (admit)
        {
            budget.admit();
            ++admitted;
        }
        else
        {
            retried += budget.take() ? 1 : 0;
        }
        RC_ASSERT(retried * 100 <= options.burst * 100 + admitted * options.percent);
    }
}

// Retries that follow each other closely get no more than the share and the burst, and
// single ones no more than one in each quiet time.
RC_GTEST_PROP(retry_budget_value, quiet_times_add_one_retry_each, ())
{
    retry_budget_options const options{.percent = *rc::gen::inRange(0, 101),
                                       .burst = *rc::gen::inRange(0, 20),
                                       .quiet = millis{*rc::gen::inRange(0, 50)}};
    auto const   pauses = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    retry_budget budget(options);
    boot_clock::time_point now{millis{100'000}};
    bool const             singles = options.quiet.count() > 0 && options.percent > 0;
    std::int64_t           admitted = 0;
    std::int64_t           quiet_times = 0;
    std::int64_t           retried = 0;
    bool                   first = true;
    for (int const pause : pauses)
    {
        now += millis{pause};
        budget.admit();
        ++admitted;
        bool const quiet = first || millis{pause} >= options.quiet;
        first = false;
        bool const granted = budget.take(now);
        quiet_times += singles && quiet ? 1 : 0;
        retried += granted ? 1 : 0;
        RC_ASSERT(granted || !(singles && quiet));
        RC_ASSERT(retried * 100 <=
                  (options.burst + quiet_times) * 100 + admitted * options.percent);
    }
}

RC_GTEST_PROP(poison_list_value, updates_of_peers_merge_in_any_order, ())
{
    auto const crashes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4)));
    auto const                   other = *rc::gen::map(rc::gen::just(crashes),
                                                       [](auto value)
                                                       {
                                         std::reverse(value.begin(), value.end());
                                         return value;
                                     });
    boot_clock::time_point const now{millis{1000}};
    poison_list                  left({});
    poison_list                  right({});
    std::map<std::string, std::set<std::string>> truth;
    for (auto const& [content, crash] : crashes)
    {
        left.note(std::to_string(content), std::to_string(crash), now);
        truth[std::to_string(content)].insert(std::to_string(crash));
    }
    for (auto const& [content, crash] : other)
    {
        right.note(std::to_string(content), std::to_string(crash), now);
    }
    for (auto const& [content, seen] : truth)
    {
        auto const verdict =
            seen.size() == 1 ? poison_verdict::suspect : poison_verdict::blocked;
        RC_ASSERT(left.evaluate(content, now) == verdict);
        RC_ASSERT(right.evaluate(content, now) == verdict);
        RC_ASSERT(left.evaluate(content, now + millis{3'600'000}) ==
                  poison_verdict::allowed);
    }
}

TEST(poison_list_value, drops_the_oldest_suspect_at_capacity)
{
    poison_list list({.capacity = 3});
    for (int content = 0; content < 10; ++content)
    {
        list.note(std::to_string(content), "crash",
                  boot_clock::time_point{millis{content}});
    }
    EXPECT_EQ(list.entries().size(), 3U);
    EXPECT_EQ(list.entries().begin()->first, "7");
}

/// A log batch with one intent, release or result (`kind` 0, 1 or 2).
wire::call_batch batch_of(int kind, int key, int request)
{
    wire::call_batch batch;
    auto const       key_hash = "key-" + std::to_string(key);
    auto const       request_id = "request-" + std::to_string(request);
    if (kind == 0)
    {
        batch.add_intents()->set_key_hash(key_hash);
        batch.mutable_intents(0)->set_request_id(request_id);
    }
    else if (kind == 1)
    {
        batch.add_releases()->set_key_hash(key_hash);
        batch.mutable_releases(0)->set_request_id(request_id);
    }
    else
    {
        batch.add_results()->set_key_hash(key_hash);
        batch.mutable_results(0)->set_request_id(request_id);
        batch.mutable_results(0)->set_status(200);
    }
    return batch;
}

RC_GTEST_PROP(call_fold_value, a_released_attempt_never_holds_a_key_and_an_answer_stays,
              ())
{
    auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 6)));
    call_fold                          fold;
    call_fold                          repeated;
    std::set<std::string>              released;
    std::map<std::string, std::string> answered;
    std::uint64_t                      offset = 0;
    for (auto const& [kind, request] : steps)
    {
        auto const key = request % 2; // an attempt has one key
        auto const batch = batch_of(kind, key, request);
        ++offset;
        fold.apply(offset, batch);
        repeated.apply(offset, batch);
        RC_ASSERT(!repeated.apply(offset, batch)); // a repeated append changes nothing
        RC_ASSERT(fold == repeated);
        auto const key_hash = "key-" + std::to_string(key);
        auto const entry = fold.find(key_hash);
        if (kind == 1)
        {
            released.insert("request-" + std::to_string(request));
        }
        if (kind == 0)
        {
            RC_ASSERT((!entry || entry->phase != call_phase::intended ||
                       released.count(entry->request_id) == 0));
        }
        if (entry && entry->phase == call_phase::answered)
        {
            auto const first = answered.emplace(key_hash, entry->request_id);
            RC_ASSERT(first.first->second == entry->request_id);
        }
        RC_ASSERT(answered.count(key_hash) == 0 || entry.has_value());
    }
}

} // namespace
} // namespace marigoldcrank
