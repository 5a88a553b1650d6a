// Callers of the entry soak, one thread each.
#include "soak_callers.hpp"

#include "soak_servers.hpp"
#include "support/eventually.hpp"

#include <array>
#include <memory>
#include <random>

namespace marigoldcrank::soak
{

namespace
{

constexpr int                       daemons = 3;
constexpr std::chrono::milliseconds pause{15};
constexpr int                       slow_callers = 4; // besides the others

std::string fields_of(call_class const& kind, std::string const& id)
{
    bool const at_engine = kind.path == std::string{"/model/"};
    auto const own_part = id + (at_engine ? ":4900\r\nToken-Count: 5000,50" : ":10");
    return kind.streamed ? "Model: m\r\nPrefix-Hash: aa:100," + own_part + "\r\n" : "";
}

/// Reads some of a response, then nothing for a while. Returns false if the caller leaves
/// instead.
bool linger(tests::raw_caller& caller, call_class const& kind, std::uint64_t draw)
{
    constexpr std::array<int, 4> pauses_ms{0, 300, 1000, 2500}; // 0: it leaves
    auto const                   pause_ms = pauses_ms.at(draw % pauses_ms.size());
    caller.read_until(kind.streamed ? "id: 2" : "\r\n\r\n", 4000);
    std::this_thread::sleep_for(std::chrono::milliseconds{pause_ms});
    return pause_ms > 0;
}

/// Whether the daemon's log says that it has ended the call for its slow caller.
bool ended_as_slow(tests::entry_cluster const& cluster, int daemon, std::string const& id)
{
    auto const line = "ev=slow_caller id=" + id + " ";
    auto const logged = [&]
    {
        return cluster.output(daemon).find(line) != std::string::npos;
    };
    return is_slow(id) && tests::eventually(logged, 1000);
}

} // namespace

soak_callers::soak_callers(tests::entry_cluster& cluster, soak_checker& checker,
                           int callers, std::uint64_t seed,
                           std::function<bool(int)> planned_only)
    : cluster_(cluster), checker_(checker), planned_only_(std::move(planned_only))
{
    for (int number = 0; number < callers + slow_callers; ++number)
    {
        threads_.emplace_back([this, number, seed, slow = number >= callers]
                              { call_until_stopped(number, seed, slow); });
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

void soak_callers::call_until_stopped(int number, std::uint64_t seed, bool slow)
{
    std::mt19937_64 random(seed * 1000 + static_cast<unsigned>(number));
    std::unique_ptr<tests::raw_caller> caller;
    int                                daemon = 0;
    for (int call = 0; !stopping_; ++call)
    {
        if (!caller)
        {
            daemon = static_cast<int>(random() % daemons);
            caller = std::make_unique<tests::raw_caller>(cluster_.caller_port(daemon),
                                                         slow ? 32768 : 0);
        }
        auto const id = std::to_string(seed) + (slow ? "-slow-" : "-") +
                        std::to_string(number) + "-" + std::to_string(call);
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
         .fields = fields_of(kind, id),
         .body = id, // unique: equal bodies may be taken for a poison call
         .deadline_ms = deadline_ms}));
    if (is_slow(id) && !linger(caller, kind, draw / 128))
    {
        return false;
    }
    auto const response = caller.read(deadline_ms);
    checker_.on_response(id, response);
    bool const interrupted = response.status != 0 && !response.complete;
    if (interrupted && planned_only_(daemon) && !ended_as_slow(cluster_, daemon, id))
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
