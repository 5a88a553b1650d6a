// Property tests of the folds of configuration, keys and usage. Whatever the order,
// repetition and delay of records: there is one chain of revisions and one set of totals
// per window, each delta counts once, and a snapshot replaces all records before it.
//
// Index: 1 random logs, 2 ledger, 3 store with peers, 4 bounds
#include "adapters/logging.hpp"
#include "app/ledger_store.hpp"
#include "app/usage_custody.hpp"
#include "ledger/ledger.hpp"
#include "wire.pb.h"

#include <gtest/gtest.h>

// After GoogleTest, whose names it uses without including it.
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

// 1. Random logs

/// Derives random choices from one raw number, so that a failing log shrinks to a short
/// one.
class random_choices
{
public:
    explicit random_choices(std::uint64_t raw) : raw_(raw) {}

    std::uint64_t below(std::uint64_t bound)
    {
        auto const choice = raw_ % bound;
        raw_ /= bound;
        return choice;
    }

private:
    std::uint64_t raw_;
};

using log_records = std::vector<wire::log_record>; // record i has offset i + 1

wire::config_change change_of(random_choices& from, ledger const& now, std::size_t step)
{
    wire::config_change change;
    // One change in four reuses an earlier id: a repeat, or an append that took effect
    // late.
    auto const id = from.below(4) == 0 ? from.below(step + 1) : step;
    change.set_change_id("change-" + std::to_string(id));
    change.set_base_revision(from.below(3) != 0 ? now.config().revision()
                                                : from.below(step + 1));
    change.set_rules("[workspaces]\n; asked for by A\nnorth = weight=" +
                     std::to_string(id + 1) + "\n");
    change.set_author("tests");
    return change;
}

wire::usage_batch batch_of(random_choices& from)
{
    wire::usage_batch batch;
    batch.set_node("node-" + std::to_string(from.below(2)));
    batch.set_incarnation("run-" + std::to_string(from.below(2)));
    batch.set_sequence(1 + from.below(6));
    auto const deltas = 1 + from.below(3);
    for (std::uint64_t index = 0; index < deltas; ++index)
    {
        // A delta is the same whichever VM appends it, so its counts depend only on its
        // number.
        auto const sequence = batch.sequence() + index;
        auto*      delta = batch.add_deltas();
        delta->set_workspace(sequence % 2 == 0 ? "north" : "south");
        delta->set_model("wording");
        delta->set_output_tokens(1U << sequence);
        delta->set_calls(1);
    }
    return batch;
}

void fill_lease(wire::log_record& record, random_choices& from, ledger const& now)
{
    auto const duty = from.below(4) != 0 ? "reporter" : "keeper";
    auto const state = now.leases().state(duty);
    auto const holder = "holder-" + std::to_string(from.below(2));
    bool const current = from.below(3) != 0;
    if (from.below(3) == 0)
    {
        record.mutable_renewal()->set_duty(duty);
        record.mutable_renewal()->set_holder(holder);
        record.mutable_renewal()->set_epoch(current ? state.epoch : state.epoch / 2);
        return;
    }
    record.mutable_claim()->set_duty(duty);
    record.mutable_claim()->set_holder(holder);
    record.mutable_claim()->set_supersedes_epoch(state.epoch);
    record.mutable_claim()->set_after_offset(current ? state.last_offset : 0);
}

/// The fold of calls has tests of its own; here calls only have to survive a snapshot.
void fill_call(wire::log_record& record, random_choices& from)
{
    auto const key = "call-" + std::to_string(from.below(3));
    auto const request = "request-" + std::to_string(from.below(3));
    switch (from.below(3))
    {
    case 0:
        record.mutable_call()->set_key_hash(key);
        record.mutable_call()->set_request_id(request);
        record.mutable_call()->set_owner("node-0/run-0");
        break;
    case 1:
        record.mutable_call_free()->set_key_hash(key);
        record.mutable_call_free()->set_request_id(request);
        break;
    default:
        record.mutable_call_done()->set_key_hash(key);
        record.mutable_call_done()->set_request_id(request);
        record.mutable_call_done()->set_status(200);
    }
}

template <class Body>
void fill_reporter(Body& body, std::uint64_t window, random_choices& from,
                   ledger const& now)
{
    auto const state = now.leases().state("reporter");
    bool const deposed = from.below(4) == 0;
    body.set_window(from.below(3) != 0 ? window : from.below(window + 2));
    body.set_holder(deposed ? "holder-gone" : state.holder);
    body.set_epoch(deposed ? state.epoch / 2 : state.epoch);
}

wire::log_record record_of(std::uint64_t raw, ledger const& now, std::size_t step,
                           log_records const& before)
{
    random_choices   from(raw);
    wire::log_record record;
    auto const       kind = from.below(18);
    if (kind == 0 && !before.empty())
    {
        return before[from.below(before.size())]; // an append that takes effect twice
    }
    if (kind < 4)
    {
        *record.mutable_change() = change_of(from, now, step);
    }
    else if (kind < 6)
    {
        record.mutable_withdrawal()->set_key_id("key-" + std::to_string(from.below(3)));
        record.mutable_withdrawal()->set_compromised(from.below(2) == 0);
    }
    else if (kind < 9)
    {
        *record.mutable_usage() = batch_of(from);
    }
    else if (kind < 11)
    {
        fill_reporter(*record.mutable_seal(), now.usage().last_sealed() + 1, from, now);
    }
    else if (kind < 12)
    {
        fill_reporter(*record.mutable_reported(), now.usage().last_sealed(), from, now);
    }
    else if (kind < 13)
    {
        *record.mutable_ledger() = now.snapshot();
        record.mutable_ledger()->set_first_retained(from.below(step + 1));
    }
    else if (kind < 16)
    {
        fill_lease(record, from, now);
    }
    else
    {
        fill_call(record, from);
    }
    return record;
}

log_records log_of(std::vector<std::uint64_t> const& raw)
{
    log_records log;
    ledger      now;
    for (std::size_t step = 0; step < raw.size(); ++step)
    {
        log.push_back(record_of(raw[step], now, step, log));
        now.apply(step + 1, log.back());
    }
    return log;
}

ledger folded(log_records const& log, std::size_t begin, std::size_t end,
              ledger value = {})
{
    for (auto index = begin; index < end; ++index)
    {
        value.apply(index + 1, log[index]);
    }
    return value;
}

rc::Gen<log_records> any_log()
{
    return rc::gen::map(rc::gen::container<std::vector<std::uint64_t>>(
                            rc::gen::inRange<std::uint64_t>(0, 1ULL << 62U)),
                        log_of);
}

// 2. Ledger

RC_GTEST_PROP(ledger_folds, snapshot_and_later_records_equal_the_whole_log, ())
{
    auto const log = *any_log();
    auto const split = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    auto const prefix = folded(log, 0, split);
    // The snapshot passes through its stored text, as a reader of the log gets it.
    wire::log_record record;
    *record.mutable_ledger() = prefix.snapshot();
    auto const read =
        leaf::try_handle_all([&] { return parse_record(format_record(record)); },
                             [] { return wire::log_record{}; });
    auto const restored = ledger::restored(read.ledger());
    RC_ASSERT(restored == prefix);
    RC_ASSERT(folded(log, split, log.size(), restored) == folded(log, 0, log.size()));
}

RC_GTEST_PROP(ledger_folds, one_chain_of_revisions, ())
{
    auto const            log = *any_log();
    ledger                value;
    std::uint64_t         revision = 0;
    std::set<std::string> accepted;
    for (std::size_t index = 0; index < log.size(); ++index)
    {
        auto const effect = value.apply(index + 1, log[index]);
        bool const moved = value.config().revision() != revision;
        RC_ASSERT(moved ==
                  (log[index].has_change() && effect == record_effect::effective));
        if (moved)
        {
            auto const& change = log[index].change();
            RC_ASSERT(value.config().revision() == index + 1);
            RC_ASSERT(change.base_revision() == revision);
            RC_ASSERT(accepted.insert(change.change_id()).second);
            RC_ASSERT(value.config().verdict(change.change_id()) ==
                      change_verdict::accepted);
        }
        revision = value.config().revision();
    }
}

RC_GTEST_PROP(ledger_folds, of_two_racing_changes_exactly_one_is_accepted, ())
{
    auto const  log = *any_log();
    auto const  before = folded(log, 0, log.size());
    auto        value = before;
    std::size_t accepted = 0;
    for (auto const* id : {"left", "right"})
    {
        wire::log_record record;
        record.mutable_change()->set_change_id(id);
        record.mutable_change()->set_base_revision(before.config().revision());
        value.apply(value.next_offset(), record);
        value.apply(value.next_offset(), record); // the append takes effect twice
    }
    for (auto const* id : {"left", "right"})
    {
        accepted += value.config().verdict(id) == change_verdict::accepted ? 1 : 0;
    }
    RC_ASSERT(accepted == 1U);
}

/// Sum of the output tokens of a table.
std::uint64_t output_of(usage_table const& table)
{
    std::uint64_t sum = 0;
    for (auto const& [key, totals] : table)
    {
        sum += totals.output_tokens;
    }
    return sum;
}

RC_GTEST_PROP(ledger_folds, each_delta_counts_once_and_each_window_has_one_table, ())
{
    auto const                                                    log = *any_log();
    ledger                                                        value;
    std::set<std::tuple<std::string, std::string, std::uint64_t>> seen;
    std::map<std::uint64_t, sealed_window>                        sealed;
    std::uint64_t                                                 expected = 0;
    for (std::size_t index = 0; index < log.size(); ++index)
    {
        value.apply(index + 1, log[index]);
        auto const& batch = log[index].usage();
        for (int at = 0; at < batch.deltas_size(); ++at)
        {
            auto const sequence = batch.sequence() + static_cast<std::uint64_t>(at);
            bool const first =
                seen.emplace(batch.node(), batch.incarnation(), sequence).second;
            expected += first ? batch.deltas(at).output_tokens() : 0;
            RC_ASSERT(value.usage().counted(batch.node(), batch.incarnation(), sequence));
        }
        for (auto const& [number, window] : value.usage().sealed())
        {
            RC_ASSERT(sealed.emplace(number, window).first->second == window);
        }
    }
    auto total = output_of(value.usage().open());
    for (auto const& [number, window] : sealed)
    {
        total += output_of(window.figures);
    }
    RC_ASSERT(total == expected);
    RC_ASSERT(sealed.size() == value.usage().last_sealed());
}

RC_GTEST_PROP(ledger_folds, only_the_holder_of_the_duty_seals, ())
{
    auto const log = *any_log();
    ledger     value;
    for (std::size_t index = 0; index < log.size(); ++index)
    {
        auto const state = value.leases().state("reporter");
        auto const effect = value.apply(index + 1, log[index]);
        if (log[index].has_seal() && effect == record_effect::effective)
        {
            RC_ASSERT(log[index].seal().epoch() == state.epoch);
            RC_ASSERT(log[index].seal().holder() == state.holder);
        }
    }
}

// 3. Store with peers

wire::config_snapshot snapshot_of(accepted_rules const& rules)
{
    wire::config_snapshot message;
    write_rules(rules, message);
    return message;
}

/// Peers offer configurations that are ahead of this VM's log or behind it. The VM's
/// ledger must never differ from its log, the revision in force must never decrease, and
/// in the end it must be that of the whole log.
RC_GTEST_PROP(ledger_store, peers_never_change_the_ledger_nor_lower_the_revision, ())
{
    auto const    log = *any_log();
    ledger_store  store([] {});
    std::uint64_t in_force = 0;
    for (std::size_t index = 0; index < log.size(); ++index)
    {
        auto const ahead = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
        store.merge(snapshot_of(folded(log, 0, ahead).config().current()));
        RC_ASSERT(store.access()->revision() >= in_force);
        in_force = store.access()->revision();
        store.apply(index + 1, format_record(log[index]), boot_clock::now());
        RC_ASSERT(store.access()->revision() >= in_force);
        in_force = store.access()->revision();
        RC_ASSERT(store.rules_in_force().revision == in_force); // it can be passed on
        RC_ASSERT(store.with_ledger([&](ledger const& value)
                                    { return value == folded(log, 0, index + 1); }));
    }
    auto const complete = folded(log, 0, log.size());
    RC_ASSERT(in_force == complete.config().revision());
    RC_ASSERT(store.rules_in_force() == complete.config().current());
}

RC_GTEST_PROP(ledger_store, a_false_peer_configuration_is_overruled_by_the_log, ())
{
    start_logging("error"); // each false configuration would log a warning
    auto const   log = *any_log();
    auto const   at = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    auto const   claimed = *rc::gen::inRange<std::uint64_t>(1, log.size() + 2);
    ledger_store store([] {});
    auto const   complete = folded(log, 0, log.size());
    for (std::size_t index = 0; index < log.size(); ++index)
    {
        if (index == at)
        {
            store.merge(snapshot_of({claimed, "never", "[workspaces]\n", "nobody"}));
        }
        store.apply(index + 1, format_record(log[index]), boot_clock::now());
    }
    if (at == log.size())
    {
        RC_ASSERT(
            !store.merge(snapshot_of({claimed, "never", "[workspaces]\n", "nobody"})) ||
            claimed > log.size());
        return;
    }
    bool const passed = claimed <= log.size();
    RC_ASSERT(!passed || store.rules_in_force() == complete.config().current());
}

// 4. Bounds

TEST(ledger_folds, memory_stays_bounded_over_a_long_log)
{
    constexpr std::uint64_t rounds = 6000;
    ledger                  value;
    wire::log_record        claim;
    claim.mutable_claim()->set_duty("reporter");
    claim.mutable_claim()->set_holder("holder");
    value.apply(1, claim);
    auto const next = [&](wire::log_record const& record)
    {
        return value.apply(value.next_offset(), record);
    };
    for (std::uint64_t round = 1; round <= rounds; ++round)
    {
        wire::log_record change;
        change.mutable_change()->set_change_id(std::to_string(round));
        change.mutable_change()->set_base_revision(value.config().revision());
        ASSERT_EQ(next(change), record_effect::effective);
        wire::log_record usage;
        usage.mutable_usage()->set_node("node");
        usage.mutable_usage()->set_incarnation(std::to_string(round));
        usage.mutable_usage()->set_sequence(1);
        usage.mutable_usage()->add_deltas()->set_calls(1);
        ASSERT_EQ(next(usage), record_effect::effective);
        wire::log_record seal;
        seal.mutable_seal()->set_window(round);
        seal.mutable_seal()->set_holder("holder");
        seal.mutable_seal()->set_epoch(1);
        ASSERT_EQ(next(seal), record_effect::effective);
        wire::log_record mark;
        mark.mutable_reported()->set_window(round);
        mark.mutable_reported()->set_holder("holder");
        mark.mutable_reported()->set_epoch(1);
        ASSERT_EQ(next(mark), record_effect::effective);
    }
    EXPECT_EQ(value.config().history().size(), configuration_fold::max_changes);
    EXPECT_EQ(value.usage().incarnations(), usage_fold::max_incarnations);
    EXPECT_EQ(value.usage().sealed().size(), usage_fold::max_reported_windows);
    EXPECT_EQ(value.usage().last_sealed(), rounds);
}

RC_GTEST_PROP(usage_custody, overdue_batches_hold_each_stored_delta_once, ())
{
    auto const sequences = *rc::gen::container<std::set<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 600));
    usage_custody custody;
    auto const    now = boot_clock::now();
    for (auto const sequence : sequences)
    {
        wire::usage_batch batch;
        batch.set_node("node");
        batch.set_incarnation("run");
        batch.set_sequence(sequence);
        batch.add_deltas()->set_output_tokens(sequence);
        custody.take(batch, now);
        custody.take(batch, now);
    }
    auto const alive = [](auto const&, auto const&)
    {
        return true;
    };
    auto const gone = [](auto const&, auto const&)
    {
        return false;
    };
    RC_ASSERT(custody.overdue(now, millis{10}, gone).empty());
    RC_ASSERT(custody.overdue(now + millis{20}, millis{10}, alive).empty());
    std::set<std::uint64_t> found;
    usage_fold              fold;
    for (auto const& batch : custody.overdue(now + millis{20}, millis{10}, gone))
    {
        for (int index = 0; index < batch.deltas_size(); ++index)
        {
            auto const sequence = batch.sequence() + static_cast<std::uint64_t>(index);
            RC_ASSERT(batch.deltas(index).output_tokens() == sequence);
            RC_ASSERT(found.insert(sequence).second);
        }
        fold.apply(batch);
    }
    RC_ASSERT(found == sequences);
    custody.erase_counted(fold);
    RC_ASSERT(custody.size() == 0U);
}

} // namespace
} // namespace marigoldcrank
