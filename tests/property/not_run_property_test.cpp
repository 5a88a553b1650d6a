// Random faults of log, service and entry VMs, with fakes at the ports. A call reported
// as `not_run` must not have run, and a call that must not be repeated runs at most once.
//
// Index: 1 actual state, 2 fakes, 3 entry VM, 4 service calls, 5 model calls
#include "app/idempotency_log.hpp"
#include "app/model_run.hpp"
#include "app/service_path.hpp"

#include <gtest/gtest.h>

// After GoogleTest, whose names it uses without including it.
#include <rapidcheck/gtest.h>

#include <deque>

namespace marigoldcrank
{
namespace
{

// 1. Actual state

enum class fault
{
    none,
    lost_answer,   // took effect, but the response was lost
    lost_request,  // took no effect, which the sender can't know
    late,          // takes effect later (log only)
    not_connected, // nothing was sent
    refused,       // the receiver refused it
    killed_before, // the sender crashes before it takes effect
    killed_after,  // the sender crashes after it took effect
    overtaken,     // another entry VM claims the same key just before (log only)
    kind_count
};

struct entry_vm;

/// The actual state, independent of what the entry VMs believe.
struct actual_state
{
    std::vector<std::string>   log;
    std::deque<std::string>    late;
    std::map<std::string, int> runs;         // by request id
    std::map<std::string, int> runs_by_body; // the body names the key
    std::set<std::string>  maybe_received;   // bodies whose sender can't know the outcome
    std::deque<fault>      faults;           // for the next exchanges
    std::vector<entry_vm*> entries;
    std::string            current_key; // of the call being sent

    fault next_fault()
    {
        if (faults.empty())
        {
            return fault::none;
        }
        auto const value = faults.front();
        faults.pop_front();
        return value;
    }

    std::uint64_t append(std::string const& text);

    /// Appends an intent of another entry VM for each key that the record claims; that VM
    /// runs the call.
    void append_rivals(std::string const& text)
    {
        auto const record = leaf::try_handle_all([&] { return parse_record(text); },
                                                 [] { return wire::log_record{}; });
        for (auto const& intent : record.calls().intents())
        {
            auto rival = intent;
            rival.set_owner("rival/1");
            rival.set_request_id("rival-" + std::to_string(log.size()));
            wire::log_record rival_record;
            rival_record.set_record_id(rival.request_id());
            *rival_record.mutable_calls()->add_intents() = rival;
            bool const first = is_free(intent.key_hash());
            append(format_record(rival_record));
            runs_by_body[current_key] += first ? 1 : 0;
        }
    }

    /// True if no call holds the key, according to a fold of the whole log.
    bool is_free(std::string const& key_hash) const
    {
        ledger truth;
        for (std::size_t index = 0; index < log.size(); ++index)
        {
            leaf::try_handle_all(
                [&]() -> leaf::result<void>
                {
                    BOOST_LEAF_AUTO(record, parse_record(log[index]));
                    truth.apply(index + 1, record);
                    return {};
                },
                [] {});
        }
        return !truth.calls().find(key_hash);
    }
};

// 2. Fakes

/// A crashed entry VM has no further effect, whatever its code still does.
struct fake_log
{
    actual_state& all;
    bool&         dead;

    leaf::result<std::uint64_t> append(std::string const& text)
    {
        if (dead)
        {
            return leaf::new_error(append_failure{true});
        }
        switch (all.next_fault())
        {
        case fault::lost_answer:
            all.append(text);
            return leaf::new_error(append_failure{true});
        case fault::lost_request:
            return leaf::new_error(append_failure{true});
        case fault::late:
            all.late.push_back(text);
            return leaf::new_error(append_failure{true});
        case fault::not_connected:
        case fault::refused:
            return leaf::new_error(append_failure{false});
        case fault::killed_before:
            dead = true;
            return leaf::new_error(append_failure{true});
        case fault::killed_after:
            dead = true;
            all.append(text);
            return leaf::new_error(append_failure{true});
        case fault::overtaken:
            all.append_rivals(text);
            return all.append(text);
        default:
            return all.append(text);
        }
    }

    leaf::result<log_page> read(std::uint64_t, millis)
    {
        return log_page{};
    }
};

struct fake_backend
{
    actual_state& all;
    bool&         dead;
    std::uint64_t tokens = 0; // of every engine's response

    leaf::result<service_response> call(backend_server const& server,
                                        service_call const&   service)
    {
        if (dead)
        {
            return failed(transport_fault::not_connected, server);
        }
        switch (all.next_fault())
        {
        case fault::lost_answer:
            run(service);
            return failed(transport_fault::response_lost, server);
        case fault::lost_request:
            all.maybe_received.insert(service.body);
            return failed(transport_fault::silent, server);
        case fault::late:
            run(service);
            return failed(transport_fault::silent, server);
        case fault::not_connected:
            return failed(transport_fault::not_connected, server);
        case fault::killed_before:
            dead = true;
            return failed(transport_fault::response_lost, server);
        case fault::killed_after:
            dead = true;
            run(service);
            return failed(transport_fault::response_lost, server);
        case fault::refused:
            return run(service, 500);
        default:
            return run(service, 200);
        }
    }

    leaf::result<void> stream(backend_server const& server, engine_call const& call,
                              event_sink const& sink)
    {
        auto const fault = all.next_fault();
        if (fault == fault::not_connected)
        {
            return failed(transport_fault::not_connected, server);
        }
        ++all.runs[call.request_id];
        if (fault == fault::refused)
        {
            return failed(transport_fault::refused, server);
        }
        bool const cut = fault != fault::none;
        auto const end = cut ? (call.resume_from + tokens) / 2 : tokens;
        for (auto sequence = call.resume_from; sequence < end; ++sequence)
        {
            sink({call.request_id, call.attempt, sequence, std::to_string(sequence)});
        }
        if (!cut)
        {
            sink({.request_id = call.request_id,
                  .attempt = call.attempt,
                  .sequence = tokens,
                  .last = true,
                  .output_tokens = tokens});
            return {};
        }
        return fault == fault::lost_answer
                   ? failed(transport_fault::response_lost, server)
               : fault == fault::late ? failed(transport_fault::silent, server)
                                      : leaf::result<void>{};
    }

    void cancel(backend_server const&, std::string const&, std::uint64_t) {}

    leaf::result<load_report> load(backend_server const& server)
    {
        if (all.next_fault() == fault::not_connected)
        {
            return failed(transport_fault::not_connected, server);
        }
        return load_report{.read_at = boot_clock::now()};
    }

private:
    static leaf::error_id failed(transport_fault fault, backend_server const& server)
    {
        return leaf::new_error(transport_failure{fault, server.id, 0});
    }

    service_response run(service_call const& service, int status = 200)
    {
        ++all.runs[service.request_id];
        ++all.runs_by_body[service.body];
        return {status, "text/plain", "ran as " + service.request_id};
    }
};

static_assert(platform_log_port<fake_log>);
static_assert(backend_port<fake_backend>);

// 3. Entry VM

struct entry_vm
{
    entry_vm(actual_state& value, std::string owner)
        : all(value), log{value, dead}, backend{value, dead}, writer(log, store),
          idempotency(
              writer, store, std::move(owner),
              // The liveness that a VM assumes of its peers may be wrong at any time.
              [this](std::string const& name)
              { return (name.size() + ++liveness_queries) % 2 == 0; },
              {.max_claim_wait = millis{0}, .append_retry_pause = millis{0}}),
          path({backend, directory, spans, counters, idempotency,
                [](wire::usage_delta) {},
                [](std::string const&) { return key_state::good; }, "dc-1", 3})
    {
        directory.replace({{.id = "service-1", .group = "ordering"},
                           {.id = "service-2", .group = "ordering"}});
        catch_up();
    }

    void catch_up()
    {
        auto const from =
            store.with_ledger([](ledger const& value) { return value.next_offset(); });
        for (auto offset = from; offset <= all.log.size() && !stalled; ++offset)
        {
            store.apply(offset, all.log[offset - 1], boot_clock::now());
        }
    }

    actual_state&                        all;
    bool                                 dead = false;
    fake_log                             log;
    fake_backend                         backend;
    metrics                              counters;
    span_store                           spans{"node", 0, ""};
    ledger_store                         store{[] {
    }};
    server_directory                     directory;
    log_writer<fake_log>                 writer;
    idempotency_log<fake_log>            idempotency;
    service_path<fake_backend, fake_log> path;
    bool                                 stalled = false; // does not read the log
    std::size_t                          liveness_queries = 0;
};

std::uint64_t actual_state::append(std::string const& text)
{
    log.push_back(text);
    auto const offset = log.size();
    for (auto* entry : entries)
    {
        entry->catch_up();
    }
    return offset;
}

// 4. Service calls

/// Result of one attempt as its caller receives it.
struct send_outcome
{
    std::string              request_id;
    std::optional<call_fate> fate; // none: answered, or the entry VM crashed
    std::string              body; // of a response

    bool answered() const
    {
        return !body.empty();
    }
};

/// Three entry VMs, one log, two servers, and callers that retry at any time.
struct scenario
{
    scenario()
    {
        for (int index = 0; index < 3; ++index)
        {
            entries.push_back(nullptr);
            restart(static_cast<std::size_t>(index));
        }
    }

    void restart(std::size_t index)
    {
        entries[index] = std::make_unique<entry_vm>(
            all, "node-" + std::to_string(index) + "/" + std::to_string(++incarnations));
        all.entries.clear();
        for (auto const& entry : entries)
        {
            if (entry)
            {
                all.entries.push_back(entry.get());
            }
        }
    }

    void send(std::size_t index, std::string const& key, bool once)
    {
        service_request request;
        request.request_id = "request-" + std::to_string(++requests);
        request.workspace = "north";
        request.group = "ordering";
        request.service = "ordering";
        request.once = once;
        request.idempotency_key = key;
        request.body = key.empty() ? request.request_id : key;
        request.deadline = boot_clock::now() + millis{60'000};
        all.current_key = key;
        send_outcome outcome{request.request_id, std::nullopt, ""};
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(reply, entries[index]->path.call(request));
                outcome.body = reply.answer.body;
                return {};
            },
            [&](refusal const& value) { outcome.fate = value.fate; },
            [&] { outcome.fate = call_fate::outcome_unknown; });
        if (entries[index]->dead)
        {
            outcome = {request.request_id, std::nullopt, ""};
            crash(index);
        }
        outcomes.push_back(outcome);
    }

    void step(int kind, std::size_t index, int key)
    {
        switch (kind)
        {
        case 0:
            entries[index]->stalled = !entries[index]->stalled;
            entries[index]->catch_up();
            break;
        case 1:
            deliver_late();
            break;
        case 2:
            flush(index);
            break;
        case 3:
            crash(index);
            break;
        case 4:
            send(index, "", true);
            break;
        case 5:
            send(index, "", false);
            break;
        default:
            send(index, "key-" + std::to_string(key), true);
        }
    }

    void deliver_late()
    {
        if (!all.late.empty())
        {
            auto const text = all.late.front();
            all.late.pop_front();
            all.append(text);
        }
    }

    void flush(std::size_t index)
    {
        entries[index]->idempotency.flush(millis{0});
        if (entries[index]->dead)
        {
            crash(index);
        }
    }

    void crash(std::size_t index)
    {
        ++crashes;
        restart(index);
    }

    /// Ends all faults, delivers late records, and sends every key once more through each
    /// VM.
    void recover()
    {
        all.faults.clear();
        while (!all.late.empty())
        {
            deliver_late();
        }
        for (std::size_t index = 0; index < entries.size(); ++index)
        {
            entries[index]->stalled = false;
            entries[index]->catch_up();
            flush(index);
        }
        for (std::string const key : {"key-0", "key-1"})
        {
            // No attempt may have run and no entry VM crashed, so nothing may hold the
            // key.
            bool const free = crashes == 0 && all.runs_by_body[key] == 0 &&
                              all.maybe_received.count(key) == 0;
            must_answer[key] = free;
        }
        for (std::size_t index = 0; index < entries.size(); ++index)
        {
            send(index, "key-0", true);
            send(index, "key-1", true);
        }
    }

    actual_state                           all;
    std::vector<std::unique_ptr<entry_vm>> entries;
    std::vector<send_outcome>              outcomes;
    std::map<std::string, bool>            must_answer;
    int                                    crashes = 0;
    int                                    requests = 0;
    int                                    incarnations = 0;
};

/// Uniform from 0 to `end` - 1; RapidCheck would narrow the range in small cases.
rc::Gen<int> below(int end)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

/// Half of the exchanges have no fault, so that calls also get far enough to fail late.
rc::Gen<int> any_fault(fault end)
{
    return rc::gen::weightedOneOf<int>(
        {{1, rc::gen::just(0)}, {1, below(static_cast<int>(end))}});
}

RC_GTEST_PROP(service_calls, run_at_most_once_and_not_run_is_true, ())
{
    auto const steps =
        *rc::gen::resize(14, rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                                 rc::gen::tuple(below(14), below(3), below(2))));
    auto const faults = *rc::gen::resize(
        24, rc::gen::container<std::deque<int>>(any_fault(fault::kind_count)));
    scenario trial;
    for (auto const value : faults)
    {
        trial.all.faults.push_back(static_cast<fault>(value));
    }
    for (auto const& [kind, index, key] : steps)
    {
        trial.step(kind, static_cast<std::size_t>(index), key);
    }
    trial.recover();
    for (auto const& outcome : trial.outcomes)
    {
        auto const ran = trial.all.runs.find(outcome.request_id);
        RC_ASSERT(outcome.fate != call_fate::not_run || ran == trial.all.runs.end());
    }
    for (std::string const key : {"key-0", "key-1"})
    {
        RC_ASSERT(trial.all.runs_by_body[key] <= 1);
    }
    auto const known = trial.outcomes.size() - 6;
    for (std::size_t index = known; index < trial.outcomes.size(); ++index)
    {
        // After recovery each key has a response, the same on every VM, or an unknown
        // outcome.
        auto const& outcome = trial.outcomes[index];
        RC_ASSERT(outcome.answered() || outcome.fate == call_fate::outcome_unknown);
        auto const& first = trial.outcomes[known + (index - known) % 2];
        RC_ASSERT(outcome.body == first.body);
        auto const key = "key-" + std::to_string((index - known) % 2);
        RC_ASSERT(outcome.answered() || !trial.must_answer[key]);
    }
}

// 5. Model calls

RC_GTEST_PROP(model_calls, are_complete_or_refused_and_not_run_is_true, ())
{
    auto const faults = *rc::gen::resize(
        8, rc::gen::container<std::deque<int>>(any_fault(fault::killed_before)));
    actual_state all;
    for (auto const value : faults)
    {
        all.faults.push_back(static_cast<fault>(value));
    }
    auto const       tokens = *rc::gen::inRange<std::uint64_t>(0, 9);
    bool             dead = false;
    fake_backend     backend{all, dead, tokens};
    server_directory directory;
    directory.replace({{.id = "engine-1", .group = "wording"},
                       {.id = "engine-2", .group = "wording"},
                       {.id = "engine-3", .group = "wording"}});
    span_store                spans{"node", 0, ""};
    metrics                   counters;
    poison_guard              poison("node", {}, [](wire::peer_message&) {});
    shared_retry_budget       budget(retry_budget_options{});
    worker_pool               cancels(1);
    std::uint64_t             billed = 0;
    model_parts<fake_backend> parts{backend,
                                    directory,
                                    spans,
                                    counters,
                                    poison,
                                    budget,
                                    cancels,
                                    [&](wire::usage_delta delta)
                                    { billed += delta.output_tokens(); },
                                    [](std::string const&) { return key_state::good; },
                                    {.solo_pause = millis{0}, .solo_settle = millis{0}}};
    model_request             request;
    request.request_id = "request";
    request.group = "wording";
    request.content = "content";
    request.deadline = boot_clock::now() + millis{60'000};
    response_stream stream;
    model_run<fake_backend>(parts, request, stream).run();
    auto const answer = stream.take(millis{0});
    RC_ASSERT(answer.end.has_value());
    for (std::size_t index = 0; index < answer.tokens.size(); ++index)
    {
        RC_ASSERT(answer.tokens[index] == std::to_string(index));
    }
    RC_ASSERT(billed == answer.tokens.size());
    if (!answer.end->refused)
    {
        RC_ASSERT(answer.tokens.size() == tokens);
        return;
    }
    RC_ASSERT(answer.end->refused->fate != call_fate::not_run ||
              all.runs.count("request") == 0);
}

} // namespace
} // namespace marigoldcrank
