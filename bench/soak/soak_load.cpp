// Callers of the soak test.
//
// Index: 1 threads, 2 balancer, 3 model calls, 4 orders
#include "soak_load.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace marigoldcrank::soak
{

namespace
{
using nlohmann::json;

constexpr int    model_callers = 16;
constexpr int    order_callers = 6;
constexpr int    patience_s = 45;     // beyond the deadline and all pauses
constexpr int    spare_key_share = 4; // one call in so many uses one
constexpr millis readiness_every{300};
constexpr millis thinking{20};
constexpr millis order_thinking{60};
} // namespace

// 1. Threads

soak_load::soak_load(tests::fleet const& system, soak_keys const& keys,
                     std::uint64_t seed)
    : system_(system), keys_(keys)
{
    for (auto& ready : ready_)
    {
        ready = true;
    }
    threads_.emplace_back([this] { watch_readiness(); });
    auto add = [&](int count, auto call, millis pause)
    {
        for (int index = 0; index < count; ++index)
        {
            threads_.emplace_back(
                [this, call, pause, index,
                 source = random(seed + threads_.size())]() mutable
                {
                    while (!over_)
                    {
                        (this->*call)(source, index % 2 == 0);
                        std::this_thread::sleep_for(pause);
                    }
                });
        }
    };
    add(model_callers, &soak_load::ask, thinking);
    add(order_callers, &soak_load::order, order_thinking);
}

soak_load::~soak_load()
{
    stop();
}

std::vector<call_record> soak_load::stop()
{
    over_ = true;
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
    return records_;
}

void soak_load::keep(call_record record)
{
    record.ended = boot_clock::now();
    std::lock_guard const lock(mutex_);
    records_.push_back(std::move(record));
}

// 2. Balancer

void soak_load::watch_readiness()
{
    while (!over_)
    {
        for (int node = 0; node < node_count; ++node)
        {
            httplib::Client client("127.0.0.1", system_.node_port(node));
            client.set_connection_timeout(readiness_every);
            client.set_read_timeout(readiness_every);
            auto const answer = client.Get("/readyz");
            ready_[static_cast<std::size_t>(node)] = answer && answer->status == 200;
        }
        std::this_thread::sleep_for(readiness_every);
    }
}

int soak_load::pick_node(random& source) const
{
    auto const first = static_cast<int>(source() % node_count);
    for (int step = 0; step < node_count; ++step)
    {
        int const node = (first + step) % node_count;
        if (ready_[static_cast<std::size_t>(node)])
        {
            return node;
        }
    }
    return first;
}

// 3. Model calls

/// Sportdag: a line for a child, short prompt and short answer. Cwmtawe: a claim bundle,
/// long prompt, the answer short for a check and long for a report.
void soak_load::ask(random& source, bool sportdag)
{
    call_record           record{.mark = "request " + std::to_string(++next_) + " ",
                                 .workspace = sportdag ? "north" : "south"};
    tests::model_question question{.workspace = record.workspace,
                                   .prompt = record.mark,
                                   .tokens = 30,
                                   .stream = source() % 4 != 0,
                                   .timeout_s = patience_s};
    if (!sportdag)
    {
        question.prompt += std::string(2000 + source() % 4000, 'x');
        question.tokens = source() % 5 == 0 ? 300 : 10;
    }
    if (sportdag && source() % spare_key_share == 0)
    {
        record.key = static_cast<int>(source() % keys_.count());
        question.key = keys_.bearer(static_cast<std::size_t>(record.key));
    }
    record.node = pick_node(source);
    record.tokens = static_cast<std::uint64_t>(question.tokens);
    record.begun = boot_clock::now();
    auto const answer = tests::call_model(system_, record.node, question);
    bool const patient =
        boot_clock::now() - record.begun < std::chrono::seconds(patience_s);
    record.outcome = answer.whole(question)     ? call_outcome::whole
                     : answer.ended             ? call_outcome::wrong
                     : answer.fate == "not_run" ? call_outcome::not_run
                     : !answer.fate.empty()     ? call_outcome::unknown
                     : patient                  ? call_outcome::lost_caller
                                                : call_outcome::hung;
    keep(std::move(record));
}

// 4. Orders

/// A print order or a submission. With a key, the caller sends it again through another
/// entry VM when its fate is not known, as a cautious client does.
void soak_load::order(random& source, bool sportdag)
{
    auto const mark = "order-" + std::to_string(++next_);
    bool const keyed = source() % 2 == 0;
    auto const workspace = sportdag ? "north" : "south";
    auto       record = send_order(workspace, mark, keyed, pick_node(source));
    auto const begun = record.begun;
    bool const again = keyed && (record.outcome == call_outcome::unknown ||
                                 record.outcome == call_outcome::lost_caller);
    keep(std::move(record));
    if (again)
    {
        // What it is told is the fate of the first try, so that one's faults count for
        // it.
        auto second = send_order(workspace, mark, keyed, pick_node(source));
        second.begun = begun;
        keep(std::move(second));
    }
}

call_record soak_load::send_order(std::string const& workspace, std::string const& mark,
                                  bool keyed, int node)
{
    call_record record{.mark = mark, .workspace = workspace, .node = node, .order = true};
    record.begun = boot_clock::now();
    httplib::Client client("127.0.0.1", system_.node_port(node));
    client.set_read_timeout(patience_s);
    httplib::Headers headers{{"Authorization", "Bearer " + system_.key(workspace)}};
    if (keyed)
    {
        headers.emplace("Idempotency-Key", mark);
    }
    auto const answer = client.Post("/services/ordering/orders", headers,
                                    json{{"mark", mark}}.dump(), "application/json");
    bool const patient =
        boot_clock::now() - record.begun < std::chrono::seconds(patience_s);
    if (!answer)
    {
        record.outcome = patient ? call_outcome::lost_caller : call_outcome::hung;
        return record;
    }
    auto const body = json::parse(answer->body, nullptr, false);
    auto const error = body.is_object() ? body.value("error", json::object()) : json();
    auto const fate = error.is_object() ? error.value("fate", "") : "";
    record.outcome = answer->status == 200 ? call_outcome::whole
                     : fate == "not_run"   ? call_outcome::not_run
                                           : call_outcome::unknown;
    return record;
}

} // namespace marigoldcrank::soak
