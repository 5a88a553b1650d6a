// Kinds of faults and their schedule.
#include "soak_fault_schedule.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

namespace marigoldcrank::soak
{

using std::chrono::milliseconds;

namespace
{

constexpr int          daemons = 3;
constexpr int          servers = 3;
constexpr int          engines = 2;
constexpr milliseconds min_fault_time{300};
constexpr int          max_extra_fault_ms = 4000; // beyond min_fault_time
constexpr milliseconds settle_time{6000};         // then interruptions are violations
constexpr milliseconds key_grace{5000};
constexpr int stop_timeout_ms = 12000; // a daemon drains for eight seconds at most

struct named_store_fault
{
    char const*             name;
    tests::store_fault_kind kind;
};

constexpr std::array<named_store_fault, 4> store_faults{
    {{"store-silent", tests::store_fault_kind::silent},
     {"store-refuses", tests::store_fault_kind::refusing},
     {"store-loses", tests::store_fault_kind::losing_responses},
     {"store-forgets", tests::store_fault_kind::truncated}}};

} // namespace

/// One fault of the connections through a relay: its names, how it begins and ends.
struct relay_fault
{
    char const* at_store;
    char const* at_server;
    void (*on)(tests::tcp_relay&);
    void (*off)(tests::tcp_relay&);
};

namespace
{

constexpr std::array<relay_fault, 5> relay_faults{
    {{"store-delay", "server-delay",
      [](tests::tcp_relay& relay) { relay.delay(milliseconds{400}); },
      [](tests::tcp_relay& relay)
      {
          relay.delay(milliseconds{0});
      }},
     {"store-silence", "server-silence",
      [](tests::tcp_relay& relay) { relay.silence_all(true); },
      [](tests::tcp_relay& relay)
      {
          relay.silence_all(false);
      }},
     {"store-forgotten", "server-forgotten",
      [](tests::tcp_relay& relay) { relay.silence_open(); },
      [](tests::tcp_relay&) {
      }},
     {"store-one-way", "server-one-way",
      [](tests::tcp_relay& relay) { relay.drop_to_target(true); },
      [](tests::tcp_relay& relay)
      {
          relay.drop_to_target(false);
      }},
     {"store-cut", "server-cut", [](tests::tcp_relay& relay) { relay.cut(true); },
      [](tests::tcp_relay& relay)
      {
          relay.cut(false);
      }}}};

} // namespace

soak_fault_schedule::soak_fault_schedule(tests::entry_cluster& cluster,
                                         soak_checker& checker, server_faults& injected,
                                         soak_notices&              notices,
                                         std::array<std::string, 3> versions,
                                         std::uint64_t              seed)
    : cluster_(cluster), checker_(checker), server_faults_(injected), notices_(notices),
      random_(seed), versions_(std::move(versions))
{
}

int soak_fault_schedule::random_below(int count)
{
    return static_cast<int>(random_() % static_cast<unsigned>(count));
}

bool soak_fault_schedule::planned_only() const
{
    auto const crash = soak_clock::time_point{soak_clock::duration{crashed_until_}};
    return undisturbed() && soak_clock::now() - crash > settle_time;
}

bool soak_fault_schedule::undisturbed() const
{
    auto const last = soak_clock::time_point{soak_clock::duration{unplanned_until_}};
    return soak_clock::now() - last > settle_time;
}

void soak_fault_schedule::on_crash(milliseconds down)
{
    crashed_until_ = (soak_clock::now() + down).time_since_epoch().count();
}

std::vector<soak_fault_schedule::scheduled_fault> soak_fault_schedule::all_faults()
{
    std::vector<scheduled_fault> all{{"stop", true,
                                      [this]
                                      {
                                          return stop_daemon();
                                      }},
                                     {"withdraw", true,
                                      [this]
                                      {
                                          return withdraw_key();
                                      }},
                                     {"kill", false,
                                      [this]
                                      {
                                          return kill_daemon(random_below(daemons));
                                      }},
                                     {"kill-all", false,
                                      [this]
                                      {
                                          return kill_all_daemons();
                                      }},
                                     {"pause", false,
                                      [this]
                                      {
                                          return pause_daemon();
                                      }}};
    auto const                   crashes = crash_faults();
    all.insert(all.end(), crashes.begin(), crashes.end());
    auto const links = link_faults();
    all.insert(all.end(), links.begin(), links.end());
    auto const notices = notice_faults();
    all.insert(all.end(), notices.begin(), notices.end());
    for (auto const& fault : store_faults)
    {
        all.push_back({fault.name, false,
                       [&]
                       {
                           return begin_store_fault(fault.kind);
                       }});
    }
    for (auto const& fault : relay_faults)
    {
        all.push_back({fault.at_store, false,
                       [&]
                       {
                           return begin_relay_fault(
                               cluster_.store_relay(random_below(daemons)), fault);
                       }});
        all.push_back({fault.at_server, false,
                       [&]
                       {
                           auto const server = random_below(servers);
                           notices_.on_network_changed(server);
                           auto end =
                               begin_relay_fault(cluster_.server_relay(server), fault);
                           return [this, server, end]
                           {
                               end();
                               notices_.on_network_changed(server);
                           };
                       }});
    }
    return all;
}

std::vector<soak_fault_schedule::scheduled_fault> soak_fault_schedule::crash_faults()
{
    auto const crash_one = [this]
    {
        server_faults_.crashing_server = random_below(servers + engines);
        return [this]
        {
            server_faults_.crashing_server = -1;
        };
    };
    return {{"servers-crash", false,
             [this]
             {
                 return set(server_faults_.crashing);
             }},
            {"server-crash", false, crash_one},
            {"servers-full", false,
             [this]
             {
                 return set(server_faults_.full);
             }}};
}

std::vector<soak_fault_schedule::scheduled_fault> soak_fault_schedule::notice_faults()
{
    std::vector<scheduled_fault> all;
    // Long enough for a limit to bind and to fill a window.
    constexpr milliseconds limit_time{8000};
    for (double const limit : {0.0, 0.8, 2.5, 12.0})
    {
        all.push_back({"server-limit", true,
                       [this, limit] { return state({.limit = limit}); }, limit_time});
    }
    for (double const pause_s : {0.7, 2.0, 3.0})
    {
        all.push_back({"server-pause", true,
                       [this, pause_s] { return state({.pause_s = pause_s}); },
                       milliseconds{2000}});
    }
    all.push_back({"server-leaving", true, [this] { return state({.leaving = true}); },
                   milliseconds{4000}});
    return all;
}

std::vector<soak_fault_schedule::scheduled_fault> soak_fault_schedule::link_faults()
{
    constexpr milliseconds link_time{
        4000}; // long enough to be noticed and to go on after
    constexpr std::array<std::pair<char const*, tests::link_fault>, 3> kinds{
        {{"links-hang", tests::link_fault::hang},
         {"links-reset", tests::link_fault::reset},
         {"links-refuse-new", tests::link_fault::refuse_new}}};
    std::vector<scheduled_fault> all;
    all.reserve(kinds.size());
    for (auto const& [name, kind] : kinds)
    {
        all.push_back({name, false, [this, fault = kind] { return break_links(fault); },
                       link_time});
    }
    return all;
}

/// One, most or all daemons lose their links to all servers.
std::function<void()> soak_fault_schedule::break_links(tests::link_fault fault)
{
    std::vector<int> broken;
    auto const       count = 1 + random_below(daemons);
    for (int index = 0; index < count; ++index)
    {
        if (!std::exchange(links_broken_[static_cast<std::size_t>(index)], true))
        {
            cluster_.break_links(index, fault);
            broken.push_back(index);
        }
    }
    for (int server = 0; server < servers; ++server)
    {
        notices_.on_network_changed(server);
    }
    return [this, broken]
    {
        for (int const index : broken)
        {
            cluster_.restore_links(index);
            links_broken_[static_cast<std::size_t>(index)] = false;
        }
        for (int server = 0; server < servers; ++server)
        {
            notices_.on_network_changed(server);
        }
    };
}

std::function<void()> soak_fault_schedule::set(std::atomic<bool>& flag)
{
    flag = true;
    return [&flag]
    {
        flag = false;
    };
}

/// A server states `notice` until its end, at which a leaving server starts a new life.
std::function<void()> soak_fault_schedule::state(server_notice const& notice)
{
    auto const server = random_below(servers);
    if (!notices_.begin(server, notice))
    {
        return [] {
        };
    }
    bool const leaving = notice.leaving;
    return [this, server, leaving]
    {
        notices_.end(server);
        if (leaving)
        {
            cluster_.list_server(cluster_.server(server), "ready", ++born_,
                                 versions_.at(static_cast<std::size_t>(server)));
        }
    };
}

std::function<void()> soak_fault_schedule::begin_relay_fault(tests::tcp_relay&  relay,
                                                             relay_fault const& fault)
{
    fault.on(relay);
    return [&relay, &fault]
    {
        fault.off(relay);
    };
}

std::function<void()> soak_fault_schedule::stop_daemon()
{
    auto const index = random_below(daemons);
    if (disrupted_[static_cast<std::size_t>(index)])
    {
        return [] {
        };
    }
    disrupted_[static_cast<std::size_t>(index)] = true;
    cluster_.daemon(index).signal(SIGTERM);
    notices_.on_daemon_disrupted(index);
    return [this, index]
    {
        if (cluster_.daemon(index).wait(stop_timeout_ms) < 0)
        {
            checker_.add_violation("daemon does not exit after SIGTERM: " +
                                   std::to_string(index));
        }
        cluster_.restart(index);
        notices_.on_daemon_disrupted(index);
        disrupted_[static_cast<std::size_t>(index)] = false;
    };
}

std::function<void()> soak_fault_schedule::kill_daemon(int index)
{
    if (disrupted_[static_cast<std::size_t>(index)])
    {
        return [] {
        };
    }
    disrupted_[static_cast<std::size_t>(index)] = true;
    cluster_.daemon(index).signal(SIGKILL);
    notices_.on_daemon_disrupted(index);
    return [this, index]
    {
        cluster_.restart(index);
        notices_.on_daemon_disrupted(index);
        disrupted_[static_cast<std::size_t>(index)] = false;
    };
}

std::function<void()> soak_fault_schedule::kill_all_daemons()
{
    std::vector<std::function<void()>> ends;
    ends.reserve(daemons);
    for (int index = 0; index < daemons; ++index)
    {
        ends.push_back(kill_daemon(index));
    }
    return [ends]
    {
        for (auto const& end : ends)
        {
            end();
        }
    };
}

std::function<void()> soak_fault_schedule::pause_daemon()
{
    auto const index = random_below(daemons);
    if (disrupted_[static_cast<std::size_t>(index)])
    {
        return [] {
        };
    }
    disrupted_[static_cast<std::size_t>(index)] = true;
    cluster_.daemon(index).signal(SIGSTOP);
    notices_.on_daemon_disrupted(index);
    return [this, index]
    {
        cluster_.daemon(index).signal(SIGCONT);
        notices_.on_daemon_disrupted(index);
        disrupted_[static_cast<std::size_t>(index)] = false;
    };
}

std::function<void()> soak_fault_schedule::begin_store_fault(tests::store_fault_kind kind)
{
    cluster_.store().trouble(kind);
    return [this]
    {
        cluster_.store().trouble(tests::store_fault_kind::none);
    };
}

std::function<void()> soak_fault_schedule::withdraw_key()
{
    cluster_.configure(++version_, {"key-other"});
    checker_.on_key_withdrawn("key-north", key_grace);
    return [this]
    {
        checker_.on_key_granted("key-north");
        cluster_.configure(++version_, {"key-north"});
    };
}

std::string soak_fault_schedule::draw_policy(std::mt19937_64& random)
{
    std::string lines;
    for (auto const* changed :
         {"queue = false\n", "level = true\n", "shares = false\n", "paces = false\n",
          "share_learned = false\n", "copies = false\n", "held_bytes = 1048576\n",
          "caller_bytes = 16384\n", "caller_stall_ms = 1500\n",
          "caller_full_stall_ms = 700\n"})
    {
        lines += random() % 2 == 0 ? changed : "";
    }
    return lines;
}

/// Daemons that are disrupted, or not ready yet, read the settings when they start.
void soak_fault_schedule::change_settings(std::string const& policy)
{
    cluster_.set_policy(policy);
    for (int index = 0; index < daemons; ++index)
    {
        if (!disrupted_[static_cast<std::size_t>(index)] && cluster_.ready(index))
        {
            cluster_.daemon(index).signal(SIGHUP);
        }
    }
}

void soak_fault_schedule::begin_random_fault()
{
    if (random_below(3) == 0)
    {
        change_settings(draw_policy(random_));
    }
    server_faults_.slow_server = random_below(servers + engines + 1) - 1;
    auto const  all = all_faults();
    auto const& kind =
        all[static_cast<std::size_t>(random_below(static_cast<int>(all.size())))];
    auto const length =
        min_fault_time + milliseconds{random_below(max_extra_fault_ms)} + kind.longer;
    auto const now = soak_clock::now();
    std::cout << "fault " << kind.name << " for " << length.count() << " ms\n";
    auto end = kind.begin();
    if (!kind.planned)
    {
        unplanned_until_ =
            std::max(unplanned_until_.load(), (now + length).time_since_epoch().count());
    }
    pending_ends_.emplace(now + length, std::move(end));
}

void soak_fault_schedule::end_due(soak_clock::time_point now)
{
    while (!pending_ends_.empty() && pending_ends_.begin()->first <= now)
    {
        auto const end = std::move(pending_ends_.begin()->second);
        pending_ends_.erase(pending_ends_.begin());
        end();
    }
}

void soak_fault_schedule::run(std::chrono::seconds length)
{
    auto const until = soak_clock::now() + length;
    auto       next = soak_clock::now();
    while (soak_clock::now() < until)
    {
        end_due(soak_clock::now());
        if (soak_clock::now() >= next)
        {
            begin_random_fault();
            // Faults come in quick series, with pauses in which the cluster recovers.
            bool const pause = random_below(6) == 0;
            next = soak_clock::now() + milliseconds{pause ? 7000 : random_below(1200)};
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    end_due(soak_clock::time_point::max());
    server_faults_.slow_server = -1;
    // The level may refuse more than the check of the recovery allows.
    change_settings(draw_policy(random_) + "level = false\n");
}

} // namespace marigoldcrank::soak
