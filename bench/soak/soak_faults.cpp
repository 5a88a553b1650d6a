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
constexpr millis min_fault_time{500};
constexpr int    max_extra_fault_ms = 3000;
constexpr millis recovery_time{3500}; // effects of a fault appear before the next episode
constexpr int    planned_per_ten = 4;
constexpr int    pairs_per_ten = 3;

std::string engine_name(int index)
{
    return "engine-" + std::to_string(index);
}
} // namespace

soak_faults::soak_faults(tests::fleet& system, soak_keys& keys, std::uint64_t seed)
    : system_(system), keys_(keys), random_(seed)
{
}

// 1. Episodes

int soak_faults::random_below(int count)
{
    return static_cast<int>(random_() % static_cast<std::uint64_t>(count));
}

std::vector<episode> soak_faults::run(boot_clock::time_point until)
{
    std::vector<episode> episodes;
    while (boot_clock::now() < until)
    {
        bool const         plan = random_below(10) < planned_per_ten;
        std::vector<fault> faults{plan ? planned_change() : unplanned_fault()};
        if (!plan && random_below(10) < pairs_per_ten)
        {
            faults.push_back(unplanned_fault());
        }
        episode now{.planned = plan, .begun = boot_clock::now()};
        for (auto const& each : faults)
        {
            now.name += std::string{now.name.empty() ? "" : " + "} + each.name;
            each.begin();
        }
        std::this_thread::sleep_for(min_fault_time +
                                    millis{random_below(max_extra_fault_ms)});
        for (auto const& each : faults)
        {
            each.end();
        }
        std::this_thread::sleep_for(recovery_time);
        now.ended = boot_clock::now();
        std::cerr << (plan ? "planned: " : "fault: ") << now.name << "\n";
        episodes.push_back(now);
    }
    return episodes;
}

soak_faults::fault soak_faults::unplanned_fault()
{
    switch (random_below(5))
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
        return reclaimed_data_centre();
    }
}

// 2. Processes

/// Starts the VM unless the other fault of a pair has started it already.
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
    int const node = random_below(node_count);
    if (random_below(2) == 0)
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
    int const engine = random_below(engine_count);
    if (random_below(2) == 0)
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

/// All cheap engines of one data centre are killed at once and replaced later.
soak_faults::fault soak_faults::reclaimed_data_centre()
{
    int const data_centre = random_below(data_centres);
    auto      each = [data_centre](auto const& act)
    {
        for (int engine = first_cheap; engine < engine_count; ++engine)
        {
            if (engine % data_centres == data_centre)
            {
                act(engine);
            }
        }
    };
    return {"cheap engines of a data centre reclaimed", false,
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
    switch (random_below(5))
    {
    case 0:
        return {"engine connections silent", false,
                [this]
                { system_.engine_relay(random_below(engine_count)).silence_open(); },
                nothing};
    case 1:
        return {"service connections silent", false,
                [this]
                { system_.service_relay(random_below(service_count)).silence_open(); },
                nothing};
    case 2:
        return {"peer connections silent", false,
                [this] { system_.peer_relay(random_below(node_count)).silence_open(); },
                nothing};
    case 3:
        return {"platform connections silent", false,
                [this] { system_.platform_relay().silence_open(); }, nothing};
    default:
        break;
    }
    int const where = random_below(data_centres);
    return {"data centre cut off", false, [this, where] { cut_data_centre(where, true); },
            [this, where]
            {
                cut_data_centre(where, false);
            }};
}

/// Starts or ends a network partition between a data centre and the others with the
/// platform. Entry VM, engine and service i are in data centre i mod 3.
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
        relay.silence_senders(index % data_centres == data_centre ? outside : inside);
    };
    system_.platform_relay().silence_senders(inside);
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
    auto const service = system_.service_port(random_below(service_count));
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
    switch (random_below(5))
    {
    case 0:
        return {"platform out", false, set(platform, "outage", -1), clear(platform)};
    case 1:
        return {"platform's responses lost", false, set(platform, "drop_answer", 60),
                clear(platform)};
    case 2:
        return {"appends late", false, set(platform, "late", 20), clear(platform)};
    case 3:
        return {"service's responses lost", false, set(service, "drop_answer", 5),
                clear(service)};
    default:
        return {"service silent after taking effect", false, set(service, "silent", 5),
                clear(service)};
    }
}

// 5. Planned changes

soak_faults::fault soak_faults::planned_change()
{
    int const  node = random_below(node_count);
    int const  engine = random_below(engine_count);
    auto const data_centre = "dc-" + std::to_string(random_below(data_centres) + 1);
    switch (random_below(5))
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
                [this, data_centre] { drain("data_centre", data_centre, true); },
                [this, data_centre]
                {
                    drain("data_centre", data_centre, false);
                }};
    case 3:
        return withdrawn_key();
    default:
        return leaving_engine();
    }
}

/// The VM list announces that a VM leaves. The VM is killed 5 s later, when its work has
/// ended.
soak_faults::fault soak_faults::leaving_engine()
{
    constexpr millis notice{5000};
    int const        engine = random_below(engine_count);
    return {"VM leaving and replaced", true,
            [this, engine, notice]
            {
                system_.publish_vms({{engine_name(engine), {{"state", "leaving"}}}});
                std::this_thread::sleep_for(notice);
                system_.engine(engine).signal(SIGKILL);
                system_.engine(engine).wait(stop_timeout_ms);
            },
            [this, engine]
            {
                start_engine(engine);
                system_.publish_vms();
            }};
}

/// Withdraws the next spare key, but never the last one, so that callers always have a
/// valid spare key.
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
                        auto const response = system_.admin_post(
                            random_below(node_count), "/admin/keys/withdraw",
                            {{"key_id", keys_.id(key)}});
                        return response.value("outcome", "") == "withdrawn";
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
        auto const response =
            system_.admin_post(random_below(node_count), "/admin/servers/drain",
                               {{"scope", scope}, {"name", name}, {"drained", drained}});
        return response.value("outcome", "") == "accepted";
    };
    tests::eventually(accepted);
}

} // namespace marigoldcrank::soak
