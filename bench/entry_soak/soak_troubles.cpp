// The kinds of trouble, and their schedule.
#include "soak_troubles.hpp"

#include <csignal>
#include <iostream>
#include <thread>

namespace marigoldcrank::soak
{

using std::chrono::milliseconds;

namespace
{

constexpr int          daemons = 3;
constexpr int          servers = 3;
constexpr milliseconds shortest{300};
constexpr int          longest_ms = 4000; // beyond the shortest
constexpr milliseconds quiet{6000}; // after unplanned trouble until cuts count again
constexpr milliseconds key_grace{5000};
constexpr int          stop_ms = 12000; // a daemon drains for eight seconds at most

struct store_spoil
{
    char const*             name;
    tests::store_fault_kind kind;
};

constexpr std::array<store_spoil, 4> store_spoils{
    {{"store-silent", tests::store_fault_kind::silent},
     {"store-refuses", tests::store_fault_kind::refusing},
     {"store-loses", tests::store_fault_kind::losing_responses},
     {"store-forgets", tests::store_fault_kind::truncated}}};

} // namespace

/// What is done to the connections through one relay, and how it ends.
struct relay_spoil
{
    char const* at_store;
    char const* at_server;
    void (*on)(tests::tcp_relay&);
    void (*off)(tests::tcp_relay&);
};

namespace
{

constexpr std::array<relay_spoil, 5> relay_spoils{
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
      [](tests::tcp_relay& relay) { relay.cut_one_way(true); },
      [](tests::tcp_relay& relay)
      {
          relay.cut_one_way(false);
      }},
     {"store-cut", "server-cut", [](tests::tcp_relay& relay) { relay.cut(true); },
      [](tests::tcp_relay& relay)
      {
          relay.cut(false);
      }}}};

} // namespace

soak_troubles::soak_troubles(tests::entry_cluster& world, soak_ledger& ledger,
                             server_mood& mood, std::uint64_t seed)
    : world_(world), ledger_(ledger), mood_(mood), random_(seed)
{
}

int soak_troubles::draw(int count)
{
    return static_cast<int>(random_() % static_cast<unsigned>(count));
}

bool soak_troubles::planned_only() const
{
    auto const last = soak_clock::time_point{soak_clock::duration{unplanned_}};
    return soak_clock::now() - last > quiet;
}

std::vector<soak_troubles::trouble> soak_troubles::kinds()
{
    std::vector<trouble> all{{"stop", true,
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
                                  return kill_daemon();
                              }},
                             {"pause", false,
                              [this]
                              {
                                  return pause_daemon();
                              }},
                             {"servers-crash", false,
                              [this]
                              {
                                  return set(mood_.crashing);
                              }},
                             {"servers-full", false,
                              [this]
                              {
                                  return set(mood_.full);
                              }}};
    for (auto const& spoil : store_spoils)
    {
        all.push_back({spoil.name, false,
                       [&]
                       {
                           return spoil_store(spoil.kind);
                       }});
    }
    for (auto const& spoil : relay_spoils)
    {
        all.push_back({spoil.at_store, false,
                       [&]
                       {
                           return spoil_relay(world_.store_relay(draw(daemons)), spoil);
                       }});
        all.push_back({spoil.at_server, false,
                       [&]
                       {
                           return spoil_relay(world_.server_relay(draw(servers)), spoil);
                       }});
    }
    return all;
}

std::function<void()> soak_troubles::set(std::atomic<bool>& mood)
{
    mood = true;
    return [&mood]
    {
        mood = false;
    };
}

std::function<void()> soak_troubles::spoil_relay(tests::tcp_relay&  relay,
                                                 relay_spoil const& spoil)
{
    spoil.on(relay);
    return [&relay, &spoil]
    {
        spoil.off(relay);
    };
}

std::function<void()> soak_troubles::stop_daemon()
{
    auto const index = draw(daemons);
    if (touched_[static_cast<std::size_t>(index)])
    {
        return [] {
        };
    }
    touched_[static_cast<std::size_t>(index)] = true;
    world_.daemon(index).signal(SIGTERM);
    return [this, index]
    {
        if (world_.daemon(index).wait(stop_ms) < 0)
        {
            ledger_.broken("a stopped daemon does not end: " + std::to_string(index));
        }
        world_.restart(index);
        touched_[static_cast<std::size_t>(index)] = false;
    };
}

std::function<void()> soak_troubles::kill_daemon()
{
    auto const index = draw(daemons);
    if (touched_[static_cast<std::size_t>(index)])
    {
        return [] {
        };
    }
    touched_[static_cast<std::size_t>(index)] = true;
    world_.daemon(index).signal(SIGKILL);
    return [this, index]
    {
        world_.restart(index);
        touched_[static_cast<std::size_t>(index)] = false;
    };
}

std::function<void()> soak_troubles::pause_daemon()
{
    auto const index = draw(daemons);
    if (touched_[static_cast<std::size_t>(index)])
    {
        return [] {
        };
    }
    touched_[static_cast<std::size_t>(index)] = true;
    world_.daemon(index).signal(SIGSTOP);
    return [this, index]
    {
        world_.daemon(index).signal(SIGCONT);
        touched_[static_cast<std::size_t>(index)] = false;
    };
}

std::function<void()> soak_troubles::spoil_store(tests::store_fault_kind kind)
{
    world_.store().trouble(kind);
    return [this]
    {
        world_.store().trouble(tests::store_fault_kind::none);
    };
}

std::function<void()> soak_troubles::withdraw_key()
{
    world_.configure(++version_, {"key-other"});
    ledger_.withdrawn("key-north", key_grace);
    return [this]
    {
        ledger_.granted("key-north");
        world_.configure(++version_, {"key-north"});
    };
}

void soak_troubles::begin_one()
{
    auto const  all = kinds();
    auto const& kind = all[static_cast<std::size_t>(draw(static_cast<int>(all.size())))];
    auto const  length = shortest + milliseconds{draw(longest_ms)};
    auto const  now = soak_clock::now();
    std::cout << "trouble " << kind.name << " for " << length.count() << " ms\n";
    auto end = kind.begin();
    if (!kind.planned)
    {
        unplanned_ = (now + length).time_since_epoch().count();
    }
    ends_.emplace(now + length, std::move(end));
}

void soak_troubles::end_due(soak_clock::time_point now)
{
    while (!ends_.empty() && ends_.begin()->first <= now)
    {
        auto const end = std::move(ends_.begin()->second);
        ends_.erase(ends_.begin());
        end();
    }
}

void soak_troubles::play(std::chrono::seconds length)
{
    auto const until = soak_clock::now() + length;
    auto       next = soak_clock::now();
    while (soak_clock::now() < until)
    {
        end_due(soak_clock::now());
        if (soak_clock::now() >= next)
        {
            begin_one();
            // Series of troubles close together, and pauses in which all is well.
            bool const pause = draw(6) == 0;
            next = soak_clock::now() + milliseconds{pause ? 7000 : draw(1200)};
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    end_due(soak_clock::time_point::max());
}

} // namespace marigoldcrank::soak
