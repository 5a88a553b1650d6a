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
constexpr int    call_timeout_s = 45; // longer than the deadline and all pauses
constexpr int    spare_key_share = 4; // one in 4 calls of workspace north uses one
constexpr millis readiness_interval{300};
constexpr millis model_call_pause{20};
constexpr millis order_pause{60};
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
                    while (!stopping_)
                    {
                        (this->*call)(source, index % 2 == 0);
                        std::this_thread::sleep_for(pause);
                    }
                });
        }
    };
    add(model_callers, &soak_load::send_model_call, model_call_pause);
    add(order_callers, &soak_load::place_order, order_pause);
}

soak_load::~soak_load()
{
    stop();
}

std::vector<call_record> soak_load::stop()
{
    stopping_ = true;
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
    return records_;
}

void soak_load::add_record(call_record record)
{
    record.ended = boot_clock::now();
    std::lock_guard const lock(mutex_);
    records_.push_back(std::move(record));
}

// 2. Balancer

void soak_load::watch_readiness()
{
    while (!stopping_)
    {
        for (int node = 0; node < node_count; ++node)
        {
            httplib::Client client("127.0.0.1", system_.node_port(node));
            client.set_connection_timeout(readiness_interval);
            client.set_read_timeout(readiness_interval);
            auto const response = client.Get("/readyz");
            ready_[static_cast<std::size_t>(node)] = response && response->status == 200;
        }
        std::this_thread::sleep_for(readiness_interval);
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

/// Calls of workspace north have short prompts and short responses. Those of south have
/// long prompts and a response that is short for a check and long for a report.
void soak_load::send_model_call(random& source, bool north)
{
    call_record         record{.mark = "request " + std::to_string(++next_) + " ",
                               .workspace = north ? "north" : "south"};
    tests::chat_request chat{.workspace = record.workspace,
                             .prompt = record.mark,
                             .tokens = 30,
                             .stream = source() % 4 != 0,
                             .timeout_s = call_timeout_s};
    if (!north)
    {
        chat.prompt += std::string(2000 + source() % 4000, 'x');
        chat.tokens = source() % 5 == 0 ? 300 : 10;
    }
    if (north && source() % spare_key_share == 0)
    {
        record.key = static_cast<int>(source() % keys_.count());
        chat.key = keys_.bearer(static_cast<std::size_t>(record.key));
    }
    record.node = pick_node(source);
    record.tokens = static_cast<std::uint64_t>(chat.tokens);
    record.begun = boot_clock::now();
    auto const response = tests::call_model(system_, record.node, chat);
    bool const in_time =
        boot_clock::now() - record.begun < std::chrono::seconds(call_timeout_s);
    record.outcome = response.whole(chat)         ? call_outcome::complete
                     : response.ended             ? call_outcome::wrong
                     : response.fate == "not_run" ? call_outcome::not_run
                     : !response.fate.empty()     ? call_outcome::unknown
                     : in_time                    ? call_outcome::connection_lost
                                                  : call_outcome::hung;
    add_record(std::move(record));
}

// 4. Orders

/// Sends an order. With an idempotency key, the caller sends it again through a newly
/// chosen entry VM when the outcome is unknown.
void soak_load::place_order(random& source, bool north)
{
    auto const mark = "order-" + std::to_string(++next_);
    bool const keyed = source() % 2 == 0;
    auto const workspace = north ? "north" : "south";
    auto       record = send_order(workspace, mark, keyed, pick_node(source));
    auto const begun = record.begun;
    bool const again = keyed && (record.outcome == call_outcome::unknown ||
                                 record.outcome == call_outcome::connection_lost);
    add_record(std::move(record));
    if (again)
    {
        // The second response reports the outcome of the first attempt, so faults during
        // the first attempt count for it as well.
        auto second = send_order(workspace, mark, keyed, pick_node(source));
        second.begun = begun;
        add_record(std::move(second));
    }
}

call_record soak_load::send_order(std::string const& workspace, std::string const& mark,
                                  bool keyed, int node)
{
    call_record record{.mark = mark, .workspace = workspace, .node = node, .order = true};
    record.begun = boot_clock::now();
    httplib::Client client("127.0.0.1", system_.node_port(node));
    client.set_read_timeout(call_timeout_s);
    httplib::Headers headers{{"Authorization", "Bearer " + system_.key(workspace)}};
    if (keyed)
    {
        headers.emplace("Idempotency-Key", mark);
    }
    auto const response = client.Post("/services/ordering/orders", headers,
                                      json{{"mark", mark}}.dump(), "application/json");
    bool const in_time =
        boot_clock::now() - record.begun < std::chrono::seconds(call_timeout_s);
    if (!response)
    {
        record.outcome = in_time ? call_outcome::connection_lost : call_outcome::hung;
        return record;
    }
    auto const body = json::parse(response->body, nullptr, false);
    auto const error = body.is_object() ? body.value("error", json::object()) : json();
    auto const fate = error.is_object() ? error.value("fate", "") : "";
    record.outcome = response->status == 200 ? call_outcome::complete
                     : fate == "not_run"     ? call_outcome::not_run
                                             : call_outcome::unknown;
    return record;
}

} // namespace marigoldcrank::soak
