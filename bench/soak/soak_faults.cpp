// Faults and planned changes of the soak test.
//
// Index: 1 episodes, 2 processes, 3 connections, 4 platform and services, 5 planned
// changes
#include "soak_faults.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <set>
#include <thread>

namespace marigoldcrank::soak
{

namespace
{
constexpr int    node_count = 9;
constexpr int    engine_count = 12;
constexpr int    service_count = 3;
constexpr int    data_centres = 3;
constexpr int    first_cheap = 6; // engines from here on are cheap
constexpr int    stop_timeout_ms = 60'000;
constexpr millis shortest{500};
constexpr int    longest_more_ms = 3000;
constexpr millis calm{3500}; // what a fault left behind shows before the next episode
constexpr int    planned_in_ten = 4;
constexpr int    pairs_in_ten = 3;

std::string engine_name(int index)
{
    return "engine-" + std::to_string(index);
}
} // namespace

soak_faults::soak_faults(tests::fleet& system, soak_keys& keys, std::uint64_t seed)
    : system_(system), keys_(keys), source_(seed)
{
}

// 1. Episodes

int soak_faults::pick(int count)
{
    return static_cast<int>(source_() % static_cast<std::uint64_t>(count));
}

std::vector<episode> soak_faults::run(boot_clock::time_point until)
{
    std::vector<episode> episodes;
    while (boot_clock::now() < until)
    {
        bool const         plan = pick(10) < planned_in_ten;
        std::vector<fault> faults{plan ? planned() : unplanned()};
        if (!plan && pick(10) < pairs_in_ten)
        {
            faults.push_back(unplanned());
        }
        episode now{.planned = plan, .begun = boot_clock::now()};
        for (auto const& each : faults)
        {
            now.name += std::string{now.name.empty() ? "" : " + "} + each.name;
            each.begin();
        }
        std::this_thread::sleep_for(shortest + millis{pick(longest_more_ms)});
        for (auto const& each : faults)
        {
            each.end();
        }
        std::this_thread::sleep_for(calm);
        now.ended = boot_clock::now();
        std::cerr << (plan ? "planned: " : "fault: ") << now.name << "\n";
        episodes.push_back(now);
    }
    return episodes;
}

soak_faults::fault soak_faults::unplanned()
{
    switch (pick(5))
    {
    case 0:
        return node_fault();
    case 1:
        return engine_fault();
    case 2:
        return connection_fault();
    case 3:
        return platform_fault();
    default:
        return reclaimed_zone();
    }
}

// 2. Processes

/// The other fault of a pair may have started it already.
void soak_faults::start_node(int node)
{
    if (!system_.node(node).running())
    {
        system_.start_node(node);
    }
}

void soak_faults::start_engine(int engine)
{
    if (!system_.engine(engine).running())
    {
        system_.start_engine(engine);
    }
}

soak_faults::fault soak_faults::node_fault()
{
    int const node = pick(node_count);
    if (pick(2) == 0)
    {
        return {"entry VM killed", false,
                [this, node]
                {
                    system_.node(node).signal(SIGKILL);
                    system_.node(node).wait(stop_timeout_ms);
                },
                [this, node]
                {
                    start_node(node);
                }};
    }
    return {"entry VM paused", false,
            [this, node] { system_.node(node).signal(SIGSTOP); },
            [this, node]
            {
                system_.node(node).signal(SIGCONT);
            }};
}

soak_faults::fault soak_faults::engine_fault()
{
    int const engine = pick(engine_count);
    if (pick(2) == 0)
    {
        return {"engine killed", false,
                [this, engine] { system_.engine(engine).signal(SIGKILL); },
                [this, engine]
                {
                    start_engine(engine);
                }};
    }
    return {"engine paused", false,
            [this, engine] { system_.engine(engine).signal(SIGSTOP); },
            [this, engine]
            {
                system_.engine(engine).signal(SIGCONT);
            }};
}

/// Cheap engines of one zone go in the same moment; new ones come later.
soak_faults::fault soak_faults::reclaimed_zone()
{
    int const zone = pick(data_centres);
    auto      each = [zone](auto const& act)
    {
        for (int engine = first_cheap; engine < engine_count; ++engine)
        {
            if (engine % data_centres == zone)
            {
                act(engine);
            }
        }
    };
    return {"zone reclaimed", false,
            [this, each]
            { each([this](int engine) { system_.engine(engine).signal(SIGKILL); }); },
            [this, each]
            {
                each([this](int engine) { start_engine(engine); });
            }};
}

// 3. Connections

soak_faults::fault soak_faults::connection_fault()
{
    auto const nothing = [] {
    };
    switch (pick(5))
    {
    case 0:
        return {"engine connections silent", false,
                [this] { system_.engine_relay(pick(engine_count)).silence_open(); },
                nothing};
    case 1:
        return {"service connections silent", false,
                [this] { system_.service_relay(pick(service_count)).silence_open(); },
                nothing};
    case 2:
        return {"peer connections silent", false,
                [this] { system_.peer_relay(pick(node_count)).silence_open(); }, nothing};
    case 3:
        return {"platform connections silent", false,
                [this] { system_.platform_relay().silence_open(); }, nothing};
    default:
        break;
    }
    int const where = pick(data_centres);
    return {"data centre cut off", false, [this, where] { cut_data_centre(where, true); },
            [this, where]
            {
                cut_data_centre(where, false);
            }};
}

/// Node, engine and service i stand in data centre i mod 3. Nothing passes between it and
/// the others or the platform.
void soak_faults::cut_data_centre(int data_centre, bool on)
{
    std::set<std::string> inside;
    std::set<std::string> outside;
    for (int node = 0; node < node_count && on; ++node)
    {
        auto& side = node % data_centres == data_centre ? inside : outside;
        side.insert("node-" + std::to_string(node));
    }
    auto cut = [&](int index, tests::tcp_relay& relay)
    {
        relay.cut_off(index % data_centres == data_centre ? outside : inside);
    };
    system_.platform_relay().cut_off(inside);
    for (int engine = 0; engine < engine_count; ++engine)
    {
        cut(engine, system_.engine_relay(engine));
    }
    for (int service = 0; service < service_count; ++service)
    {
        cut(service, system_.service_relay(service));
    }
    for (int node = 0; node < node_count; ++node)
    {
        cut(node, system_.peer_relay(node));
    }
}

// 4. Platform and services

soak_faults::fault soak_faults::platform_fault()
{
    auto const platform = system_.platform_port();
    auto const service = system_.service_port(pick(service_count));
    auto const set = [this](int port, char const* kind, int count)
    {
        return [this, port, kind, count]
        {
            system_.fault(port, {{"kind", kind}, {"count", count}, {"for_ms", 2500}});
        };
    };
    auto const clear = [this](int port)
    {
        return [this, port]
        {
            system_.fault(port, {{"kind", "none"}});
        };
    };
    switch (pick(5))
    {
    case 0:
        return {"platform out", false, set(platform, "outage", -1), clear(platform)};
    case 1:
        return {"platform's answers lost", false, set(platform, "drop_answer", 60),
                clear(platform)};
    case 2:
        return {"appends late", false, set(platform, "late", 20), clear(platform)};
    case 3:
        return {"service's answers lost", false, set(service, "drop_answer", 5),
                clear(service)};
    default:
        return {"service silent after taking effect", false, set(service, "silent", 5),
                clear(service)};
    }
}

// 5. Planned changes

soak_faults::fault soak_faults::planned()
{
    int const  node = pick(node_count);
    int const  engine = pick(engine_count);
    auto const centre = "dc-" + std::to_string(pick(data_centres) + 1);
    switch (pick(5))
    {
    case 0:
        return {"entry VM drained and replaced", true,
                [this, node] { system_.node(node).signal(SIGTERM); },
                [this, node]
                {
                    system_.node(node).wait(stop_timeout_ms);
                    start_node(node);
                }};
    case 1:
        return {"engine drained", true,
                [this, engine] { drain("server", engine_name(engine), true); },
                [this, engine]
                {
                    drain("server", engine_name(engine), false);
                }};
    case 2:
        return {"data centre drained", true,
                [this, centre] { drain("data_centre", centre, true); },
                [this, centre]
                {
                    drain("data_centre", centre, false);
                }};
    case 3:
        return withdrawn_key();
    default:
        return leaving_engine();
    }
}

/// The list says that a VM leaves; it goes a few seconds later, when its work has ended.
soak_faults::fault soak_faults::leaving_engine()
{
    constexpr millis notice{5000};
    int const        engine = pick(engine_count);
    return {"VM leaving and replaced", true,
            [this, engine, notice]
            {
                system_.publish_machines({{engine_name(engine), {{"state", "leaving"}}}});
                std::this_thread::sleep_for(notice);
                system_.engine(engine).signal(SIGKILL);
                system_.engine(engine).wait(stop_timeout_ms);
            },
            [this, engine]
            {
                start_engine(engine);
                system_.publish_machines();
            }};
}

/// The last key stays, so that spare keys work to the end.
soak_faults::fault soak_faults::withdrawn_key()
{
    return {"key withdrawn", true,
            [this]
            {
                if (next_key_ + 1 == keys_.count())
                {
                    return;
                }
                auto const key = next_key_++;
                tests::eventually(
                    [&]
                    {
                        auto const answer =
                            system_.admin_post(pick(node_count), "/admin/keys/withdraw",
                                               {{"key_id", keys_.id(key)}});
                        return answer.value("outcome", "") == "withdrawn";
                    });
                keys_.note_withdrawn(key);
            },
            [] {
            }};
}

void soak_faults::drain(char const* scope, std::string const& name, bool drained)
{
    auto const accepted = [&]
    {
        auto const answer =
            system_.admin_post(pick(node_count), "/admin/servers/drain",
                               {{"scope", scope}, {"name", name}, {"drained", drained}});
        return answer.value("outcome", "") == "accepted";
    };
    tests::eventually(accepted);
}

} // namespace marigoldcrank::soak
