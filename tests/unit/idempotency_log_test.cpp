// Claims of keyed calls at a VM that reads the log later than another one.
#include "app/idempotency_log.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

/// A log whose records this VM reads only when it appends.
struct lagging_log
{
    leaf::result<std::uint64_t> append(std::string const& text)
    {
        records.push_back(text);
        for (; folded < records.size(); ++folded)
        {
            store.apply(folded + 1, records[folded], boot_clock::now());
        }
        return records.size();
    }

    leaf::result<log_page> read(std::uint64_t /*from*/, millis /*wait*/)
    {
        return log_page{};
    }

    ledger_store&            store;
    std::vector<std::string> records;
    std::size_t              folded = 0; // records that were read
};

wire::call_intent intent(std::string const& request, std::string const& owner)
{
    wire::call_intent value;
    value.set_key_hash("key");
    value.set_body_hash("body");
    value.set_request_id(request);
    value.set_owner(owner);
    return value;
}

std::string record_of(wire::call_batch const& calls)
{
    wire::log_record record;
    record.set_record_id("of the other VM");
    *record.mutable_calls() = calls;
    return format_record(record);
}

// A repeat reaches a VM that has read the claim of the first attempt but not its result.
TEST(idempotency_log, repeat_gets_the_result_that_its_vm_has_not_read_yet)
{
    ledger_store store{[] {
    }};
    lagging_log  log{.store = store};

    wire::call_batch claimed;
    *claimed.add_intents() = intent("first", "vm-0/1");
    log.append(record_of(claimed));
    wire::call_batch settled;
    auto*            result = settled.add_results();
    result->set_key_hash("key");
    result->set_request_id("first");
    result->set_body_hash("body");
    result->set_status(200);
    log.records.push_back(record_of(settled)); // stored, not read by this VM

    log_writer<lagging_log>      writer(log, store);
    idempotency_log<lagging_log> idempotency(writer, store, "vm-1/1",
                                             [](std::string const&) { return true; }, {});
    auto const                   claim = idempotency.claim(intent("repeat", ""));
    EXPECT_EQ(claim.verdict, claim_verdict::answered);
    EXPECT_EQ(claim.entry.request_id, "first");
    EXPECT_EQ(claim.entry.status, 200);
}

// The first attempt still runs: its key must stay with it.
TEST(idempotency_log, repeat_of_a_running_call_does_not_run)
{
    ledger_store store{[] {
    }};
    lagging_log  log{.store = store};

    wire::call_batch claimed;
    *claimed.add_intents() = intent("first", "vm-0/1");
    log.append(record_of(claimed));
    log_writer<lagging_log>      writer(log, store);
    idempotency_log<lagging_log> idempotency(writer, store, "vm-1/1",
                                             [](std::string const&) { return true; }, {});
    EXPECT_EQ(idempotency.claim(intent("repeat", "")).verdict,
              claim_verdict::in_progress);
}

} // namespace
} // namespace marigoldcrank
