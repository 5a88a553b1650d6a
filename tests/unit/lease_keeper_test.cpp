// The lease keeper against a log whose answers and effects a test arranges.
#include "app/lease_keeper.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace marigoldcrank
{
namespace
{

/// A log that folds what is appended at once, unless the test takes the record away;
/// `after_append` runs before the append's answer arrives.
struct fake_log
{
    explicit fake_log(ledger_store& value) : store(value) {}

    leaf::result<std::uint64_t> append(std::string const& text)
    {
        if (refusing)
        {
            return leaf::new_error(append_failure{false});
        }
        if (losing)
        {
            late.push_back(text);
            return leaf::new_error(append_failure{true});
        }
        auto const offset = add(text);
        if (after_append)
        {
            auto const run = std::exchange(after_append, nullptr);
            run();
        }
        return offset;
    }

    leaf::result<log_page> read(std::uint64_t, millis)
    {
        return log_page{};
    }

    std::uint64_t add(std::string const& text)
    {
        ++appended;
        store.apply(++end, text, boot_clock::now());
        return end;
    }

    ledger_store&            store;
    bool                     losing = false; // effect and answer come later, if at all
    bool                     refusing = false;
    std::vector<std::string> late;
    std::function<void()>    after_append;
    std::uint64_t            end = 0;
    int                      appended = 0;
};

class lease_keeper_test : public testing::Test
{
protected:
    using keeper = lease_keeper<fake_log>;

    static constexpr lease_durations terms{millis{1000}, millis{50}, millis{10}};

    lease_state state() const
    {
        return store.with_ledger([](ledger const& value)
                                 { return value.leases().state("duty"); });
    }

    /// A claim of another process that is effective now.
    void claim_by_other()
    {
        wire::log_record record;
        record.mutable_claim()->set_duty("duty");
        record.mutable_claim()->set_holder("other");
        record.mutable_claim()->set_supersedes_epoch(state().epoch);
        record.mutable_claim()->set_after_offset(state().last_offset);
        log.add(format_record(record));
    }

    ledger_store           store{[] {
    }};
    fake_log               log{store};
    log_writer<fake_log>   writer{log, store};
    keeper                 lease{writer, store, "duty", "self", terms};
    boot_clock::time_point start = boot_clock::now();
};

TEST_F(lease_keeper_test, claims_a_free_duty_under_the_offset_of_its_claim)
{
    log.add("not a record");
    lease.step(start);
    ASSERT_TRUE(lease.held(start));
    EXPECT_EQ(lease.held(start)->epoch, 2U);
    EXPECT_FALSE(lease.held(start + terms.lease));
}

/// Story: a holder renews; before it looks, a successor's claim is folded. The holder
/// takes the successor's epoch for its own and sends orders that no engine refuses.
TEST_F(lease_keeper_test, never_takes_a_successors_epoch_for_its_own)
{
    lease.step(start);
    log.after_append = [&]
    {
        claim_by_other();
    };
    lease.step(start + millis{100});
    auto const held = lease.held(start + millis{100});
    EXPECT_TRUE(!held || held->epoch == 1U);
    EXPECT_EQ(state().holder, "other");
}

/// Story: a node drains and gives its duty up while its duty thread waits for a renewal.
/// The renewal is read back after the release was sent, and the node believes for a whole
/// lease that it holds what its successor has already taken.
TEST_F(lease_keeper_test, a_release_in_the_middle_of_a_renewal_ends_the_lease)
{
    lease.step(start);
    log.after_append = [&]
    {
        lease.release();
    };
    lease.step(start + millis{100});
    EXPECT_TRUE(state().released);
    EXPECT_FALSE(lease.held(start + millis{100}));
}

/// Story: the append of a release loses its answer. The node renews and goes on; then the
/// release takes effect and a successor claims at once: two holders.
TEST_F(lease_keeper_test, never_renews_an_epoch_whose_release_may_still_take_effect)
{
    lease.step(start);
    log.losing = true;
    lease.release();
    log.losing = false;
    lease.step(start + millis{100});
    log.add(log.late.at(0));
    if (state().released)
    {
        claim_by_other();
        EXPECT_FALSE(lease.held(start + millis{100}));
    }
    else
    {
        EXPECT_NE(state().epoch, 1U);
    }
}

/// Story: a claim is given up on and takes effect a second later. Its holder must not
/// count the lease from then, but from a renewal that it sent itself.
TEST_F(lease_keeper_test, a_late_claim_is_held_only_after_a_renewal)
{
    log.losing = true;
    lease.step(start);
    log.losing = false;
    log.add(log.late.at(0));
    EXPECT_EQ(state().holder, "self");
    EXPECT_FALSE(lease.held(start));
    lease.step(start + millis{200});
    ASSERT_TRUE(lease.held(start + millis{200}));
    EXPECT_EQ(lease.held(start + millis{200})->valid_until,
              start + millis{200} + terms.lease);
}

/// Story: the platform refuses appends for minutes; every node without a duty tries again
/// without a pause and keeps the platform down.
TEST_F(lease_keeper_test, pauses_between_claims_that_fail)
{
    log.losing = true;
    for (int round = 0; round < 20; ++round)
    {
        lease.step(start + millis{round});
    }
    EXPECT_LE(log.late.size(), 2U);
}

TEST_F(lease_keeper_test, a_successor_waits_the_lease_out_from_when_it_read_it)
{
    claim_by_other();
    lease.step(start + terms.lease / 2);
    EXPECT_EQ(state().holder, "other");
    lease.step(boot_clock::now() + terms.lease + terms.drift + millis{1});
    EXPECT_EQ(state().holder, "self");
}

} // namespace
} // namespace marigoldcrank
