// Crashes, restarts and callers.
#include "soak_crashes.hpp"

#include "soak_servers.hpp"

namespace marigoldcrank::soak
{

namespace
{

using std::chrono::milliseconds;

constexpr int          daemons = 3;
constexpr milliseconds crash_time{30};
constexpr milliseconds down_time{1000};
constexpr milliseconds pause{250};
constexpr milliseconds contact_time{3000}; // after which the VMs must have acted
constexpr int          allowed_late = 3;
constexpr auto         fatal_body = "fatal";
constexpr auto         fatal_part = "bad:50";

} // namespace

soak_crashes::soak_crashes(tests::entry_cluster& cluster, soak_checker& checker,
                           soak_fault_schedule& schedule, soak_notices& notices,
                           std::vector<std::string> versions)
    : cluster_(cluster), checker_(checker), schedule_(schedule), notices_(notices),
      versions_(std::move(versions))
{
}

soak_crashes::~soak_crashes()
{
    stop();
}

void soak_crashes::stop()
{
    stopping_ = true;
    for (auto& caller : callers_)
    {
        caller.join();
    }
    callers_.clear();
    std::lock_guard const lock{mutex_};
    for (auto& each : restarts_)
    {
        each.join();
    }
    restarts_.clear();
}

void soak_crashes::start(std::uint64_t seed)
{
    for (bool const same_content : {true, false})
    {
        callers_.emplace_back([this, seed, same_content]
                              { call_until_stopped(seed, same_content); });
    }
}

bool soak_crashes::crash(int server, tests::wire_request const& request)
{
    bool const by_content = request.body == fatal_body;
    bool const by_part =
        request.field("prefix-hash").find(fatal_part) != std::string::npos;
    if (!by_content && !by_part)
    {
        return false;
    }
    std::this_thread::sleep_for(crash_time);
    std::lock_guard const lock{mutex_};
    if (stopping_)
    {
        return false;
    }
    auto&      count = by_content ? contents_ : parts_;
    auto const now = soak_clock::now();
    bool const shown =
        count.arrivals >= count.shown_by && now - count.shown > contact_time;
    count.late += shown && schedule_.undisturbed() ? 1 : 0;
    count.shown = ++count.arrivals == count.shown_by ? now : count.shown;
    schedule_.on_crash(down_time);
    for (int daemon = 0; daemon < daemons; ++daemon)
    {
        cluster_.break_link(daemon, server, tests::link_fault::reset);
    }
    restarts_.emplace_back([this, server] { restart(server); });
    return true;
}

void soak_crashes::restart(int server)
{
    std::this_thread::sleep_for(down_time);
    notices_.end(server); // what it stated before doesn't hold any more
    cluster_.list_server(cluster_.server(server), "ready", ++born_,
                         versions_.at(static_cast<std::size_t>(server)));
    for (int daemon = 0; daemon < daemons; ++daemon)
    {
        cluster_.restore_link(daemon, server);
    }
}

void soak_crashes::call_until_stopped(std::uint64_t seed, bool same_content)
{
    std::mt19937_64 random(seed * 1000 + (same_content ? 901 : 902));
    for (int call = 0; !stopping_; ++call)
    {
        auto const id = std::to_string(seed) + (same_content ? "-fatal-" : "-part-") +
                        std::to_string(call);
        call_class const kind{same_content ? "/repeat/" : "/resume/", true,
                              !same_content};
        auto const       daemon = static_cast<int>(random() % daemons);
        checker_.on_sent(id, kind, "key-north", daemon);
        tests::ask(cluster_.caller_port(daemon),
                   {.path = std::string{kind.path} + "x",
                    .id = id,
                    .fields = same_content
                                  ? ""
                                  : "Model: m\r\nPrefix-Hash: aa:100," +
                                        std::string{fatal_part} + "," + id + ":10\r\n",
                    .body = same_content ? fatal_body : id,
                    .deadline_ms = 2000});
        std::this_thread::sleep_for(pause);
    }
}

void soak_crashes::check()
{
    std::lock_guard const lock{mutex_};
    for (auto const* count : {&contents_, &parts_})
    {
        if (count->late > allowed_late)
        {
            checker_.add_violation("requests that crash servers by one " +
                                   std::string{count->reason} + " reached servers " +
                                   std::to_string(count->late) + " times more, of " +
                                   std::to_string(count->arrivals) + " in all");
        }
    }
}

} // namespace marigoldcrank::soak
