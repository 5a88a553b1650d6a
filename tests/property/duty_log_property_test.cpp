// Property tests of the duty lease under lost, late and repeated appends, pauses and
// restarts; of usage sums and of the server list.
//
// Index: 1 simulated log and VMs, 2 properties
#include "ledger/duty_log.hpp"
#include "ledger/server_list.hpp"
#include "ledger/usage_windows.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

// 1. Simulated log and VMs

constexpr millis lease{3000};
constexpr millis margin{400};
constexpr millis step{100};

/// An append in flight: it takes effect at `due` if the log still ends at `at`.
struct pending_append
{
    std::uint64_t          at = 0;
    duty_record            record;
    boot_clock::time_point due{};
    std::size_t            vm = 0;
    bool                   answered = false; // the VM receives the outcome
};

struct vm_state
{
    duty_log               log;
    boot_clock::time_point paused_until{};
    boot_clock::time_point next_poll{};
    bool                   waiting = false; // for the outcome of an append
};

/// Simulates a few VMs and a log in steps of 100 ms; the faults of each step are random.
class duty_cluster
{
public:
    explicit duty_cluster(std::size_t vms)
    {
        for (std::size_t index = 0; index < vms; ++index)
        {
            vms_.push_back({make_log(index, 0)});
        }
    }

    void advance()
    {
        now_ += step;
        deliver_appends();
        for (std::size_t index = 0; index < vms_.size(); ++index)
        {
            inject_fault(index);
            run_vm(index);
        }
        check();
    }

private:
    static duty_log make_log(std::size_t index, int incarnation)
    {
        return duty_log{"vm-" + std::to_string(index) + "/" + std::to_string(incarnation),
                        {lease, margin},
                        boot_clock::time_point{}};
    }

    void inject_fault(std::size_t index)
    {
        auto const draw = *rc::gen::inRange(0, 200);
        if (draw == 0)
        {
            vms_[index].paused_until = now_ + step * *rc::gen::inRange(1, 80);
        }
        else if (draw == 1)
        {
            ++incarnations_;
            vms_[index] = {duty_log{"vm-" + std::to_string(index) + "/" +
                                        std::to_string(incarnations_),
                                    {lease, margin},
                                    now_}};
        }
    }

    void run_vm(std::size_t index)
    {
        auto& vm = vms_[index];
        if (now_ < vm.paused_until || now_ < vm.next_poll || vm.waiting)
        {
            return;
        }
        vm.next_poll = now_ + millis{900};
        bool const reads = *rc::gen::inRange(0, 10) != 0;
        if (reads)
        {
            catch_up(vm);
        }
        bool const holds = vm.log.held_until(now_).has_value();
        bool const claims = reads && !holds && vm.log.may_claim(now_);
        if (holds || claims)
        {
            send(index, claims ? duty_kind::claim : duty_kind::renew);
        }
    }

    void send(std::size_t index, duty_kind kind)
    {
        auto&          vm = vms_[index];
        pending_append append{.at = vm.log.end(), .vm = index};
        append.record = {.kind = kind, .holder = self_of(index)};
        append.record.number = vm.log.begin_append(now_);
        append.due = now_ + step * *rc::gen::weightedElement<int>({{9, 0}, {1, 40}});
        append.answered = *rc::gen::inRange(0, 8) != 0;
        vm.waiting = append.answered;
        pending_.push_back(append);
    }

    std::string self_of(std::size_t index) const
    {
        return vms_[index].log.self();
    }

    void deliver_appends()
    {
        for (auto at = pending_.begin(); at != pending_.end();)
        {
            if (at->due > now_)
            {
                ++at;
                continue;
            }
            auto&      vm = vms_[at->vm];
            bool const taken = at->at == records_.size();
            bool const same = at->record.holder == vm.log.self();
            if (taken)
            {
                records_.push_back(at->record);
            }
            if (at->answered && same)
            {
                vm.waiting = false;
                if (taken && now_ >= vm.paused_until)
                {
                    vm.log.apply(at->record, at->at, now_);
                }
            }
            at = pending_.erase(at);
        }
    }

    void catch_up(vm_state& vm)
    {
        for (auto offset = vm.log.end(); offset < records_.size(); ++offset)
        {
            vm.log.apply(records_[offset], offset, now_);
        }
    }

    /// Checks that at most one running VM considers itself the holder now, and that
    /// epochs don't decrease.
    void check()
    {
        std::size_t holders = 0;
        for (auto const& vm : vms_)
        {
            if (now_ >= vm.paused_until && vm.log.held_until(now_))
            {
                ++holders;
                RC_ASSERT(vm.log.epoch() >= highest_epoch_);
                highest_epoch_ = vm.log.epoch();
            }
        }
        RC_ASSERT(holders <= 1U);
    }

    boot_clock::time_point      now_{std::chrono::hours{1}};
    std::vector<vm_state>       vms_;
    std::vector<duty_record>    records_;
    std::vector<pending_append> pending_;
    std::uint64_t               highest_epoch_ = 0;
    int                         incarnations_ = 0;
};

// 2. Properties

RC_GTEST_PROP(duty_log, never_two_holders_and_epochs_only_rise, ())
{
    duty_cluster cluster(3);
    for (int count = 0; count < 250; ++count)
    {
        cluster.advance();
    }
}

RC_GTEST_PROP(duty_log, formatted_records_parse_back,
              (std::string const& holder, std::uint64_t number, std::int64_t window))
{
    std::string name;
    for (unsigned char const letter : holder)
    {
        name.push_back(letter < 0x80 ? static_cast<char>(letter) : 'x');
    }
    for (auto const kind :
         {duty_kind::claim, duty_kind::renew, duty_kind::seal, duty_kind::change})
    {
        duty_record record{
            .kind = kind, .holder = name, .number = number, .window = window};
        if (kind == duty_kind::seal)
        {
            record.counts = {{name, 3}};
        }
        if (kind == duty_kind::renew)
        {
            record.reported_after = {window + 2, window + 5};
        }
        if (kind == duty_kind::change)
        {
            record.server = name;
            record.prefill = true;
        }
        RC_ASSERT(parse_duty_record(format_duty_record(record)) == record);
    }
}

RC_GTEST_PROP(duty_log, any_text_is_a_record_or_nothing, (std::string const& text))
{
    static_cast<void>(parse_duty_record(text));
    static_cast<void>(parse_usage_record(text));
}

// Two VMs seal the same window: the first record must decide for all readers.
TEST(duty_log, first_seal_of_a_window_stands)
{
    duty_log               log("a", {lease, margin}, {});
    boot_clock::time_point now{std::chrono::seconds{9}};
    duty_record seal{.kind = duty_kind::seal, .window = 4, .counts = {{"w", 1}}};
    log.apply(seal, 0, now);
    seal.counts = {{"w", 2}};
    log.apply(seal, 1, now);
    EXPECT_EQ(log.sealed().at(4).at("w"), 1);
}

// A window is reported while an earlier one still waits for counts. Then the holder fails
// and the seal is truncated from the log. A successor that sealed the window again would
// report different counts; the newest renewal shows it that the window is reported.
TEST(duty_log, later_windows_that_are_reported_are_known_without_their_seals)
{
    duty_log               log("b", {lease, margin}, {});
    boot_clock::time_point now{std::chrono::seconds{9}};
    log.skip(6, now); // includes the seal of window 7
    log.apply(
        {.kind = duty_kind::renew, .holder = "a", .window = 5, .reported_after = {7}}, 7,
        now);
    EXPECT_TRUE(log.reported(5));
    EXPECT_FALSE(log.reported(6));
    EXPECT_TRUE(log.reported(7));
    EXPECT_EQ(log.reported_up_to(), 5);
}

RC_GTEST_PROP(usage_sum, order_and_repeats_change_nothing, ())
{
    usage_counter             counter("vm", {}, millis{1000});
    std::vector<usage_record> records;
    std::int64_t              calls = 0;
    for (std::int64_t window = 1; window <= 3; ++window)
    {
        auto const count = *rc::gen::inRange(0, 5);
        for (int call = 0; call < count; ++call)
        {
            counter.add("w", window * 1000 + call);
            ++calls;
        }
        for (auto& record : counter.take_before(window + 1))
        {
            records.push_back(record);
        }
    }
    usage_sum sum;
    for (int repeat = 0; repeat < 3; ++repeat)
    {
        for (auto const index : *rc::gen::container<std::vector<std::size_t>>(
                 6, rc::gen::inRange<std::size_t>(0, records.size())))
        {
            sum.apply(records[index]);
        }
    }
    for (auto const& record : records)
    {
        sum.apply(*parse_usage_record(format_usage_record(record)));
    }
    std::int64_t billed = 0;
    for (std::int64_t window = 1; window <= 3; ++window)
    {
        for (auto const& [workspace, count] : sum.of(window))
        {
            billed += count;
        }
    }
    RC_ASSERT(billed == calls);
}

// A VM's counts arrive in its records, in digests and in records that others append for
// it, in any order and partly outdated. If they were added up, callers would be billed
// twice.
RC_GTEST_PROP(usage_sum, counts_of_a_vm_are_summed_once_whatever_their_origin, ())
{
    usage_counter             counter("vm", {}, millis{1000});
    std::vector<usage_record> published;
    auto const                calls = *rc::gen::inRange(1, 20);
    for (int call = 0; call < calls; ++call)
    {
        counter.add("w", 1000 + call);
        for (auto& record : counter.recent(1))
        {
            published.push_back(record);
        }
    }
    usage_sum sum;
    for (int turn = 0; turn < 30; ++turn)
    {
        auto const& record =
            published[*rc::gen::inRange<std::size_t>(0, published.size())];
        if (*rc::gen::arbitrary<bool>())
        {
            sum.receive(record);
        }
        else
        {
            sum.apply(record);
        }
    }
    sum.receive(published.back());
    RC_ASSERT(sum.of(1).at("w") == calls);
    for (auto const& record : sum.unlogged_before(2))
    {
        sum.apply(record);
    }
    RC_ASSERT(sum.of(1).at("w") == calls);
    RC_ASSERT(sum.unlogged_before(2).empty());
    RC_ASSERT(sum.holds(published.back()));
}

// A VM is killed in an open window and restarts. Its old incarnation sends nothing more,
// so the window must not wait for it.
TEST(usage_sum, window_is_complete_once_a_vm_has_started_again)
{
    usage_sum sum;
    for (auto const* writer : {"a/100", "b/100"})
    {
        sum.apply({writer, 1, {}, {}});
    }
    sum.receive({"a/100", 2, {{"w", 3}}, {}});
    sum.apply({"b/100", 2, {{"w", 4}}, {}});
    EXPECT_FALSE(sum.complete(2));
    sum.receive({"a/200", 3, {}, {}});
    EXPECT_TRUE(sum.complete(2));
    EXPECT_EQ(sum.of(2).at("w"), 7);
}

// A VM that can't reach the store sends counts of a later window in a digest, which
// closes the windows before.
TEST(usage_sum, window_is_complete_once_counts_of_a_later_one_arrive)
{
    usage_sum sum;
    sum.apply({"a/100", 1, {}, {}});
    sum.receive({"a/100", 2, {{"w", 3}}, {}});
    EXPECT_FALSE(sum.complete(2));
    sum.receive({"a/100", 3, {}, {}});
    EXPECT_TRUE(sum.complete(2));
}

RC_GTEST_PROP(server_list, live_servers_are_never_lost_to_an_outage, ())
{
    server_list            list;
    boot_clock::time_point now{std::chrono::hours{1}};
    list.put({.id = "a", .group = "s"});
    list.store_lost();
    now += step * *rc::gen::inRange(0, 300);
    if (*rc::gen::arbitrary<bool>())
    {
        list.drop("a", now);
    }
    list.store_answered(now);
    list.drop("a", now);
    auto const within = millis{*rc::gen::inRange(0, 1999)};
    RC_ASSERT(list.expire(now + within).empty());
    RC_ASSERT(list.servers().count("a") == 1U);
    if (*rc::gen::arbitrary<bool>())
    {
        list.put({.id = "a", .group = "s"});
        list.expire(now + millis{2001});
        RC_ASSERT(list.servers().count("a") == 1U);
    }
    else
    {
        RC_ASSERT(list.expire(now + millis{2001}).size() == 1U);
        RC_ASSERT(list.servers().empty());
    }
}

// A VM reaches the store again, and soon afterwards a server removes its entry without
// announcing that it leaves. When such an entry was held like an expired one until the
// next read of the list, the server got new work 2.2 s after its removal, when it may
// have stopped.
TEST(server_list, removal_after_an_outage_is_not_held_like_an_expiry)
{
    auto const in_use = [](server_list const& list, boot_clock::time_point at)
    {
        return list.servers().count("a") > 0 && list.usable("a", at);
    };
    for (int tenths = 0; tenths < 160; ++tenths)
    {
        auto const after_return = millis{100} * (tenths % 16);
        auto const read_after =
            millis{94} * (tenths / 16 + 1); // 940 ms between two reads
        server_list            list;
        boot_clock::time_point now{std::chrono::hours{1}};
        list.put({.id = "a", .group = "s"});
        list.store_lost();
        now += millis{9000};
        list.store_answered(now);
        list.caught_up();
        auto const removed = now + after_return;
        auto const read = removed + read_after;
        EXPECT_TRUE(in_use(list, read));
        list.drop("a", read);
        EXPECT_FALSE(in_use(list, removed + millis{1900})) << after_return.count();
    }
}

} // namespace
} // namespace marigoldcrank
