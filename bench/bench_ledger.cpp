// Time to fold one record, by kind, and to write and restore a snapshot. Prints `name
// value unit` lines.
//
// Index: 1 measuring, 2 records, 3 snapshot, 4 main
//
// Times are of one thread and depend on the processor. The ratios compare each kind with
// the cheapest one, a renewal, measured alternately in the same run.
#include "app/ledger_store.hpp"
#include "domain/boot_clock.hpp"
#include "ledger/ledger.hpp"
#include "wire.pb.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace marigoldcrank;

// 1. Measuring

constexpr int           rounds = 15;
constexpr std::uint64_t records_per_round = 2000;
constexpr int           deltas_per_batch = 50;

void report(std::string const& name, double value, std::string const& unit)
{
    std::cout << name << " " << value << " " << unit << "\n";
}

double microseconds_of(std::function<void()> const& work)
{
    auto const begun = boot_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(boot_clock::now() - begun).count();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

// 2. Records

using record_maker = std::function<wire::log_record(std::uint64_t offset)>;

struct record_kind
{
    std::string  name;
    record_maker make;
};

wire::log_record claim_of(std::string const& duty)
{
    wire::log_record record;
    record.set_record_id("claim-" + duty);
    record.mutable_claim()->set_duty(duty);
    record.mutable_claim()->set_holder("node-1/run");
    return record;
}

wire::log_record renewal(std::uint64_t offset)
{
    wire::log_record record;
    record.set_record_id("renewal-" + std::to_string(offset));
    record.mutable_renewal()->set_duty("reporter");
    record.mutable_renewal()->set_holder("node-1/run");
    record.mutable_renewal()->set_epoch(1);
    return record;
}

wire::log_record withdrawal(std::uint64_t offset)
{
    wire::log_record record;
    record.set_record_id("withdrawal-" + std::to_string(offset));
    record.mutable_withdrawal()->set_key_id("key-" + std::to_string(offset % 1000));
    return record;
}

wire::log_record usage(std::uint64_t offset)
{
    wire::log_record record;
    record.set_record_id("usage-" + std::to_string(offset));
    auto* batch = record.mutable_usage();
    batch->set_node("node-1");
    batch->set_incarnation("run");
    batch->set_sequence(offset * deltas_per_batch + 1);
    for (int index = 0; index < deltas_per_batch; ++index)
    {
        auto* delta = batch->add_deltas();
        delta->set_request_id("0123456789abcdef01234567");
        delta->set_workspace("workspace-" + std::to_string(index % 8));
        delta->set_model("wording");
        delta->set_prompt_tokens(300);
        delta->set_output_tokens(60);
        delta->set_calls(1);
    }
    return record;
}

wire::log_record change(std::uint64_t offset)
{
    wire::log_record record;
    record.set_record_id("change-" + std::to_string(offset));
    record.mutable_change()->set_change_id("change-" + std::to_string(offset));
    record.mutable_change()->set_base_revision(offset == 2 ? 0 : offset - 1);
    std::string rules = "[workspaces]\n";
    for (int index = 0; index < 50; ++index)
    {
        rules += "; asked for by the bench\nworkspace-" + std::to_string(index) +
                 " = weight=" + std::to_string(1 + offset % 7) + "\n";
    }
    record.mutable_change()->set_rules(rules);
    return record;
}

/// Folds records of one kind from their text, as a node does. Returns microseconds per
/// record.
double fold_once(record_kind const& kind, std::uint64_t first)
{
    std::vector<std::string> texts;
    for (std::uint64_t index = 0; index < records_per_round; ++index)
    {
        texts.push_back(format_record(kind.make(first + index)));
    }
    ledger_store store([] {});
    store.apply(1, format_record(claim_of("reporter")), boot_clock::now());
    auto const total = microseconds_of(
        [&]
        {
            auto offset = first;
            for (auto const& text : texts)
            {
                store.apply(offset++, text, boot_clock::now());
            }
        });
    return total / static_cast<double>(records_per_round);
}

void measure_records()
{
    std::vector<record_kind> const   kinds{{"renewal", renewal},
                                         {"withdrawal", withdrawal},
                                         {"usage_of_50_deltas", usage},
                                         {"change_of_50_rules", change}};
    std::vector<std::vector<double>> times(kinds.size());
    for (int round = 0; round < rounds; ++round)
    {
        for (std::size_t index = 0; index < kinds.size(); ++index)
        {
            times[index].push_back(fold_once(kinds[index], 2));
        }
    }
    auto const cheapest = median(times.front());
    for (std::size_t index = 0; index < kinds.size(); ++index)
    {
        auto const cost = median(times[index]);
        report("fold_" + kinds[index].name, cost, "us");
        report("fold_" + kinds[index].name + "_to_renewal", cost / cheapest, "ratio");
    }
}

// 3. Snapshot

void measure_snapshot()
{
    ledger value;
    value.apply(1, claim_of("reporter"));
    for (std::uint64_t offset = 2; offset < 1002; ++offset)
    {
        value.apply(offset, change(offset));
    }
    // Usage batches have consecutive numbers, as nodes send them.
    for (std::uint64_t offset = 1002; offset < 3002; ++offset)
    {
        value.apply(offset,
                    offset % 2 == 0 ? withdrawal(offset) : usage((offset - 1003) / 2));
    }
    wire::log_record record;
    auto const       write_us =
        microseconds_of([&] { *record.mutable_ledger() = value.snapshot(); });
    auto const text = format_record(record);
    bool       same = false;
    auto const restore_us = microseconds_of(
        [&]
        {
            auto const parsed = leaf::try_handle_all([&] { return parse_record(text); },
                                                     [] { return wire::log_record{}; });
            same = ledger::restored(parsed.ledger()) == value;
        });
    report("snapshot_under_the_lock", write_us, "us");
    report("snapshot_restore", restore_us, "us");
    report("snapshot_size", static_cast<double>(text.size()), "bytes");
    report("snapshot_restores_the_same", same ? 1 : 0, "bool");
}

} // namespace

// 4. main

int main()
{
    measure_records();
    measure_snapshot();
    return 0;
}
