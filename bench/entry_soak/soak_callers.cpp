// Callers of the entry soak, one thread each.
#include "soak_callers.hpp"

#include "soak_servers.hpp"

#include <memory>
#include <random>

namespace marigoldcrank::soak
{

namespace
{

constexpr int                       daemons = 3;
constexpr std::chrono::milliseconds pause{15};

} // namespace

soak_callers::soak_callers(tests::entry_cluster& cluster, soak_checker& checker,
                           int callers, std::uint64_t seed,
                           std::function<bool(int)> planned_only)
    : cluster_(cluster), checker_(checker), planned_only_(std::move(planned_only))
{
    for (int number = 0; number < callers; ++number)
    {
        threads_.emplace_back([this, number, seed] { call_until_stopped(number, seed); });
    }
}

soak_callers::~soak_callers()
{
    stopping_ = true;
    for (auto& thread : threads_)
    {
        thread.join();
    }
}

void soak_callers::call_until_stopped(int number, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + static_cast<unsigned>(number));
    std::unique_ptr<tests::raw_caller> caller;
    int                                daemon = 0;
    for (int call = 0; !stopping_; ++call)
    {
        if (!caller)
        {
            daemon = static_cast<int>(random() % daemons);
            caller = std::make_unique<tests::raw_caller>(cluster_.caller_port(daemon));
        }
        auto const id = std::to_string(seed) + "-" + std::to_string(number) + "-" +
                        std::to_string(call);
        if (!call_once(*caller, daemon, id, random()))
        {
            caller.reset();
        }
        std::this_thread::sleep_for(pause);
    }
}

bool soak_callers::call_once(tests::raw_caller& caller, int daemon, std::string const& id,
                             std::uint64_t draw)
{
    auto const&   classes = call_classes();
    auto const&   kind = classes[draw % classes.size()];
    auto const    key = draw / 8 % 3 == 0 ? "key-south" : "key-north";
    constexpr int deadline_ms = 4000;
    checker_.on_sent(id, kind, key, daemon);
    caller.send(tests::make_request(
        {.path = std::string{kind.path} + "x",
         .id = id,
         .key = key,
         .fields =
             kind.streamed ? "Model: m\r\nPrefix-Hash: aa:100," + id + ":10\r\n" : "",
         .body = id, // unique: equal bodies may be taken for a poison call
         .deadline_ms = deadline_ms}));
    auto const response = caller.read(deadline_ms);
    checker_.on_response(id, response);
    bool const interrupted = response.status != 0 && !response.complete;
    if (interrupted && planned_only_(daemon))
    {
        checker_.on_planned_interruption(id);
    }
    if (interrupted && kind.streamed && kind.repeatable)
    {
        take_up(id, key, response, static_cast<int>(draw / 32 % daemons));
    }
    auto const closes = response.fields.find("connection");
    return response.complete &&
           (closes == response.fields.end() || closes->second.find("close") != 0);
}

void soak_callers::take_up(std::string const& id, std::string const& key,
                           tests::raw_response const& interrupted, int daemon)
{
    constexpr int deadline_ms = 3000;
    auto const    part = parse_stream(interrupted.body);
    if (part.last == 0)
    {
        return;
    }
    auto const again = id + "-again";
    checker_.on_sent(again, {"/resume/", true, true}, key, daemon);
    auto const resumed =
        tests::ask(cluster_.caller_port(daemon),
                   {.path = "/resume/x",
                    .id = again,
                    .key = key,
                    .fields = "Last-Event-Id: " + std::to_string(part.last) +
                              "\r\nResumes: " + id + "\r\n",
                    .body = id,
                    .deadline_ms = deadline_ms});
    checker_.on_resumed(id, interrupted, resumed);
}

} // namespace marigoldcrank::soak
