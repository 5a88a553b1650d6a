// Tests the lease keeper with a log whose responses and effects each test controls.
#include "app/lease_keeper.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace marigoldcrank
{
namespace
{

/// A log that folds appended records at once, unless a test refuses or delays them.
/// `after_append` runs before the response to the append arrives.
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

    ledger_store& store;
    bool          losing = false; // the response is lost; the record is delayed
    bool          refusing = false;
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

    /// Adds an effective claim of another process.
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

/// Guards against a holder that adopts a successor's epoch. The successor's claim is
/// folded after the holder's renewal, but before the holder reads the state. The holder
/// would then send orders under the successor's epoch, which no engine refuses.
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

/// Guards against a renewal that revives a released lease. A node releases its duty
/// during a drain while its duty thread waits for a renewal, which is read back after the
/// release. The node would then hold the lease for its whole length beside its successor.
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

/// Guards against two holders after a late release. The response to the append of a
/// release is lost and the node renews the lease. If the release then takes effect, a
/// successor claims the duty at once.
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

/// A claim can take effect after its process stopped waiting for it. The lease must then
/// not run from that time, but from a renewal that the process sends itself.
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

/// Guards against nodes that claim a duty without a pause while the platform fails
/// appends, and so keep the platform overloaded.
TEST_F(lease_keeper_test, pauses_between_claims_that_fail)
{
    log.losing = true;
    for (int round = 0; round < 20; ++round)
    {
        lease.step(start + millis{round});
    }
    EXPECT_LE(log.late.size(), 2U);
}

TEST_F(lease_keeper_test, a_successor_waits_a_whole_lease_after_it_read_the_claim)
{
    claim_by_other();
    lease.step(start + terms.lease / 2);
    EXPECT_EQ(state().holder, "other");
    lease.step(boot_clock::now() + terms.lease + terms.drift + millis{1});
    EXPECT_EQ(state().holder, "self");
}

} // namespace
} // namespace marigoldcrank
