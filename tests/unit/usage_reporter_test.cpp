// Tests the usage reporter when responses to its reports are lost, with fake ports.
#include "app/usage_reporter.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank
{
namespace
{

/// Every append takes effect at once.
class fake_log
{
public:
    explicit fake_log(ledger_store& store) : store_(store) {}

    leaf::result<std::uint64_t> append(std::string const& text)
    {
        store_.apply(++last_, text, boot_clock::now());
        return last_;
    }

    leaf::result<log_page> read(std::uint64_t, millis)
    {
        return log_page{};
    }

private:
    ledger_store& store_;
    std::uint64_t last_ = 0;
};

/// Receives every report and loses the first responses.
class fake_reports
{
public:
    leaf::result<order_response> send(order_message const& message,
                                      boot_clock::time_point)
    {
        bodies[message.path].push_back(message.body);
        if (lost_answers-- > 0)
        {
            return leaf::new_error(
                transport_failure{transport_fault::response_lost, "platform", 0});
        }
        return order_response{200, "{}"};
    }

    int                                             lost_answers = 0;
    std::map<std::string, std::vector<std::string>> bodies; // by path
};

static_assert(order_port<fake_reports>);

/// A process that holds the reporter duty and has usage in its ledger.
struct reporter_under_test
{
    reporter_under_test()
    {
        wire::log_record record;
        record.mutable_usage()->set_node("node");
        record.mutable_usage()->set_incarnation("run");
        record.mutable_usage()->set_sequence(1);
        record.mutable_usage()->add_deltas()->set_output_tokens(7);
        writer.append(record, millis{1000});
        lease.step(boot_clock::now());
    }

    void step()
    {
        reporter.step(boot_clock::now());
        std::this_thread::sleep_for(millis{3}); // changes the wall-clock time
    }

    ledger_store           store{[] {
    }};
    fake_log               log{store};
    log_writer<fake_log>   writer{log, store};
    lease_keeper<fake_log> lease{writer, store, "reporter", "node/run", {}};
    fake_reports           reports;
    usage_reporter<fake_log, fake_reports> reporter{
        writer,
        store,
        reports,
        lease,
        {"node/run", millis{1}, millis{0}, "127.0.0.1", 1}};
};

/// Guards against two different reports of one window. If the response to a report is
/// lost, the reporter or its successor sends the report again. It must contain only what
/// the ledger holds.
TEST(usage_reporter, a_window_is_reported_again_with_the_same_bytes)
{
    reporter_under_test test;
    test.reports.lost_answers = 2;
    for (int round = 0; round < 5; ++round)
    {
        test.step();
    }
    auto const& bodies = test.reports.bodies["/usage/1"];
    ASSERT_EQ(bodies.size(), 3U); // two responses lost, one received, no further report
    EXPECT_EQ(bodies[0], bodies[1]);
    EXPECT_EQ(bodies[0], bodies[2]);
    auto const successor = test.store.with_ledger(
        [](ledger const& value) {
            return format_window(
                ledger::restored(value.snapshot()).usage().sealed().at(1));
        });
    EXPECT_EQ(successor, bodies[0]);
    EXPECT_EQ(test.store.with_ledger([](ledger const& value)
                                     { return value.usage().last_reported(); }),
              1U);
}

} // namespace
} // namespace marigoldcrank
