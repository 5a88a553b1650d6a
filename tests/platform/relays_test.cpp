// Fleets larger than the mesh, which read records of the store through other VMs.
//
// Index: 1 a link between two VMs, 2 daemons
#include "platform/support/arrival_times.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "serving/record_link.hpp"
#include "support/eventually.hpp"
#include "support/tcp_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>
#include <zmq.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <sstream>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

// 1. A link between two VMs

/// A relay and a member that queries it, on one event loop.
struct linked_vms
{
    linked_vms()
    {
        member.follow({relay_address});
    }

    /// The chunk that the member gets; nothing if it has to read the store.
    std::optional<log_chunk> fetch(records_query query)
    {
        std::optional<log_chunk> reply;
        bool                     done = false;
        auto                     asking = [&]() -> boost::asio::awaitable<void>
        {
            reply = co_await member.fetch(query);
            done = true;
        };
        boost::asio::co_spawn(loop, asking(), boost::asio::detached);
        auto const limit = boot_clock::now() + millis{5000};
        while (!done && boot_clock::now() < limit)
        {
            loop.run_for(millis{20});
            loop.restart();
            relay.tick();
        }
        EXPECT_TRUE(done);
        return reply;
    }

    static topic_format keep_all(std::string const&)
    {
        return {};
    }

    port_block              ports;
    std::string             relay_address = "127.0.0.1:" + std::to_string(ports.next());
    std::string             own_address = "127.0.0.1:" + std::to_string(ports.next());
    boost::asio::io_context loop;
    zmq::context_t          context{1};
    record_link             relay{loop, context, relay_address, keep_all};
    record_link             member{loop, context, own_address, keep_all};
};

log_chunk one_record()
{
    return {.from = 7, .end = 8, .records = {"version 2"}};
}

TEST(record_link, relay_passes_on_what_it_has_read)
{
    linked_vms vms;
    vms.relay.merge("rules", one_record(), boot_clock::now() - millis{300});
    auto const reply = vms.fetch({"rules", 7, millis{500}});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->records, std::vector<std::string>{"version 2"});
    EXPECT_TRUE(reply->relayed);
    EXPECT_GE(reply->age, millis{300});
}

// The relay has lost the store and hasn't detected it yet. If a member took its old
// records for fresh, a withdrawn key would go on working.
TEST(record_link, reply_that_is_too_old_is_not_accepted)
{
    linked_vms vms;
    vms.relay.merge("rules", one_record(), boot_clock::now() - millis{2500});
    EXPECT_FALSE(vms.fetch({"rules", 8, millis{100}}));
    EXPECT_FALSE(vms.member.relayed()); // the relay is avoided for a while
}

// The store refuses the VM that reads for the others. They must then read the store
// themselves, or leaving servers would get work for longer than their notice allows.
TEST(record_link, reply_older_than_the_query_allows_is_not_accepted)
{
    linked_vms    vms;
    records_query query{"servers", 8, millis{2000}};
    query.max_age = millis{1300};
    vms.relay.merge("servers", one_record(), boot_clock::now() - millis{900});
    auto const began = boot_clock::now();
    EXPECT_FALSE(vms.fetch(query)); // waited for a change until the records were too old
    EXPECT_LT(boot_clock::now() - began, millis{1000});
    EXPECT_TRUE(vms.member.relayed()); // its records of other topics are fresh enough
}

// The first relay has old records, the second one has read the store itself. Members must
// learn of a leaving server from the second.
TEST(record_link, fresher_reply_of_the_next_relay_is_accepted)
{
    linked_vms  vms;
    auto const  address = "127.0.0.1:" + std::to_string(vms.ports.next());
    record_link second{vms.loop, vms.context, address, linked_vms::keep_all};
    vms.member.follow({vms.relay_address, address});
    vms.relay.merge("servers", {.from = 7, .end = 7}, boot_clock::now() - millis{1500});
    second.merge("servers", one_record(), boot_clock::now());
    records_query query{"servers", 7, millis{300}};
    query.max_age = millis{1300};
    query.accept_older = true;
    auto const reply = vms.fetch(query);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->records.size(), 1U);
}

// Hundreds of members must not all read the store because their relays are slow once.
TEST(record_link, older_reply_is_accepted_if_no_relay_has_a_newer_one)
{
    linked_vms vms;
    vms.relay.merge("servers", one_record(), boot_clock::now() - millis{1500});
    records_query query{"servers", 7, millis{300}};
    query.max_age = millis{1300};
    EXPECT_FALSE(vms.fetch(query));
    query.accept_older = true;
    EXPECT_TRUE(vms.fetch(query));
}

// Queries wait for a change at one VM after the other. If the waits added to the age of
// the reply, keys would be refused although the store responds.
TEST(record_link, waiting_time_of_a_query_does_not_age_its_reply)
{
    linked_vms vms;
    vms.relay.merge("rules", {.from = 8, .end = 8}, boot_clock::now());
    auto const reply = vms.fetch({"rules", 8, millis{600}});
    ASSERT_TRUE(reply);
    EXPECT_LE(reply->age, millis{100}); // counted from the query, 600 ms earlier
}

// A member that isn't queried by other VMs must not keep the records from its relay,
// since nobody would read them.
TEST(record_link, relayed_records_are_kept_only_by_vms_that_are_queried)
{
    linked_vms vms;
    auto       received = one_record();
    received.relayed = true;
    vms.relay.merge("rules", received, boot_clock::now());
    EXPECT_FALSE(vms.fetch({"rules", 7, millis{50}}));
    vms.relay.serve(true);
    vms.relay.merge("rules", received, boot_clock::now());
    EXPECT_TRUE(vms.fetch({"rules", 7, millis{50}}));
}

// A relay that has just started lacks older records. Its members must read them from the
// store instead of missing them.
TEST(record_link, records_that_the_relay_does_not_hold_come_from_the_store)
{
    linked_vms vms;
    vms.relay.merge("rules", one_record(), boot_clock::now());
    EXPECT_FALSE(vms.fetch({"rules", 3, millis{500}}));
    EXPECT_TRUE(vms.member.relayed()); // it may be queried for later records
}

// A relay dies, or the network drops its replies.
TEST(record_link, silent_relay_is_given_up_in_time)
{
    linked_vms vms;
    vms.member.follow({"127.0.0.1:1"});
    auto const began = boot_clock::now();
    EXPECT_FALSE(vms.fetch({"rules", 7, millis{200}}));
    EXPECT_LT(boot_clock::now() - began, millis{2000});
    EXPECT_FALSE(vms.member.relayed());
}

// Records got old while the silence of a relay was waited for that was known to be gone.
TEST(record_link, relay_that_is_not_live_is_queried_last)
{
    linked_vms vms;
    vms.member.follow({"127.0.0.1:1", vms.relay_address});
    vms.member.watch([&](std::string const& address)
                     { return address == vms.relay_address; });
    vms.relay.merge("rules", one_record(), boot_clock::now());
    auto const began = boot_clock::now();
    EXPECT_TRUE(vms.fetch({"rules", 7, millis{500}}));
    EXPECT_LT(boot_clock::now() - began, millis{400});
}

// A relay was left out for seconds after it was back.
TEST(record_link, relay_that_is_live_again_is_queried_at_once)
{
    linked_vms vms;
    bool       live = false;
    auto const address = "127.0.0.1:" + std::to_string(vms.ports.next());
    vms.member.watch([&](std::string const&) { return live; });
    vms.member.follow({address});
    EXPECT_FALSE(vms.fetch({"rules", 7, millis{50}})); // nobody is there
    vms.member.tick();
    record_link returned{vms.loop, vms.context, address, linked_vms::keep_all};
    returned.merge("rules", one_record(), boot_clock::now());
    live = true;
    vms.member.tick();
    EXPECT_TRUE(vms.fetch({"rules", 7, millis{500}}));
}

TEST(record_link, change_ends_the_wait)
{
    linked_vms vms;
    vms.relay.merge("rules", {.from = 0, .end = 7}, boot_clock::now());
    vms.relay.merge("rules", {.from = 7, .end = 7}, boot_clock::now());
    boost::asio::steady_timer later{vms.loop, millis{200}};
    later.async_wait([&](auto)
                     { vms.relay.merge("rules", one_record(), boot_clock::now()); });
    auto const began = boot_clock::now();
    auto const reply = vms.fetch({"rules", 7, millis{3000}});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->records.size(), 1U);
    EXPECT_LT(boot_clock::now() - began, millis{2500});
}

// Where nothing changed, each VM on the way held what it knew back for the whole wait,
// and members' lists were nearly too old to send by.
TEST(record_link, knowledge_that_nothing_has_changed_is_held_back)
{
    linked_vms vms;
    auto const old = boot_clock::now() - millis{600};
    vms.relay.merge("servers", one_record(), old);
    records_query query{"servers", 8, millis{3000}};
    query.known_as_of = old;
    query.newer = millis{200};
    boost::asio::steady_timer later{vms.loop, millis{200}};
    later.async_wait(
        [&](auto)
        { vms.relay.merge("servers", {.from = 8, .end = 8}, boot_clock::now()); });
    auto const began = boot_clock::now();
    auto const reply = vms.fetch(query);
    ASSERT_TRUE(reply);
    EXPECT_LT(boot_clock::now() - began, millis{1000});
    EXPECT_LT(reply->age, millis{100});
}

/// Rules with this many routes, about 400 bytes each.
std::string large_rules(int routes)
{
    std::string text;
    for (int route = 0; route < routes; ++route)
    {
        auto const number = std::to_string(route * 7919);
        text += R"({"name":"route-)" + number + R"(","host":"h)" + number +
                R"(.example","path_prefix":"/p)" + number + R"(/","service":"desk",)" +
                std::string(300, ' ') + "},";
    }
    return text;
}

// A server's leaving was heard late, behind rules with many routes on a slow link.
TEST(record_link, large_rules_do_not_hold_up_other_records)
{
    linked_vms vms;
    auto const port = vms.ports.next();
    auto const relay_port = vms.relay_address.substr(vms.relay_address.find(':') + 1);
    tcp_relay  slow_link(port, std::stoi(relay_port));
    slow_link.limit_rate(1'000'000);
    vms.member.follow({"127.0.0.1:" + std::to_string(port)});
    log_chunk const rules{.from = 0, .end = 1, .records = {large_rules(2000)}};
    vms.relay.merge("rules", rules, boot_clock::now());
    vms.relay.merge("servers", one_record(), boot_clock::now());
    records_query const      query{"rules", 0, millis{1000}};
    std::optional<log_chunk> received;
    bool                     done = false;
    auto                     asking = [&]() -> boost::asio::awaitable<void>
    {
        received = co_await vms.member.fetch(query);
        done = true;
    };
    boost::asio::co_spawn(vms.loop, asking(), boost::asio::detached);
    vms.loop.run_for(millis{50});
    vms.loop.restart();
    auto const began = boot_clock::now();
    EXPECT_TRUE(vms.fetch({"servers", 7, millis{1000}}));
    EXPECT_LT(boot_clock::now() - began, millis{300});
    while (!done)
    {
        vms.loop.run_for(millis{20});
        vms.loop.restart();
    }
    ASSERT_TRUE(received);
    EXPECT_EQ(received->records, rules.records);
}

/// Records "KEY=VALUE" of a keyed topic.
topic_format keyed_text(std::string const&)
{
    return {.read = [](std::string const& record, std::uint64_t offset)
            {
                auto const sign = record.find('=');
                return std::optional{keyed_record{.key = record.substr(0, sign),
                                                  .value = record.substr(sign + 1),
                                                  .offset = offset}};
            }};
}

/// Two VMs that hold the state of a keyed topic.
struct keyed_vms
{
    keyed_vms()
    {
        member.follow({address});
    }

    template <class Call>
    auto run(Call call)
    {
        auto       done = boost::asio::co_spawn(loop, call(), boost::asio::use_future);
        auto const limit = boot_clock::now() + millis{5000};
        while (done.wait_for(millis{0}) != std::future_status::ready &&
               boot_clock::now() < limit)
        {
            loop.run_for(millis{5});
            loop.restart();
            relay.tick();
        }
        return done.get();
    }

    std::optional<keyed_state> state()
    {
        return run([&] { return member.fetch_state("servers"); });
    }

    port_block              ports;
    std::string             address = "127.0.0.1:" + std::to_string(ports.next());
    std::string             own = "127.0.0.1:" + std::to_string(ports.next());
    boost::asio::io_context loop;
    zmq::context_t          context{1};
    record_link             relay{loop, context, address, keyed_text};
    record_link             member{loop, context, own, keyed_text};
};

// A fleet has thousands of servers. Their state in one reply would take longer on a slow
// link than a relay may be silent.
TEST(record_link, state_of_a_large_topic_comes_in_parts)
{
    keyed_vms vms;
    log_chunk servers{.end = 3000};
    for (int server = 0; server < 3000; ++server)
    {
        servers.records.push_back("server-" + std::to_string(server) + "=" +
                                  std::string(250, 'x'));
    }
    vms.relay.merge("servers", servers, boot_clock::now() - millis{100});
    auto const state = vms.state();
    ASSERT_TRUE(state);
    EXPECT_EQ(state->records.records.size(), 3000U);
    EXPECT_EQ(state->records.next(), 3000U);
    EXPECT_GE(state->age, millis{100});
}

// A VM that became a relay after the start has only the changes since then. A member that
// took them for the state would miss most servers.
TEST(record_link, relay_without_the_whole_state_is_not_asked_for_it)
{
    keyed_vms vms;
    vms.relay.merge("servers", {.from = 5, .end = 6, .records = {"a=1"}},
                    boot_clock::now());
    EXPECT_FALSE(vms.relay.holds_state("servers"));
    EXPECT_FALSE(vms.state());
    log_chunk const listing{.end = 6, .records = {"a=1", "b=1"}, .offsets = {5, 2}};
    vms.relay.replace("servers", listing, boot_clock::now());
    auto const state = vms.state();
    ASSERT_TRUE(state);
    EXPECT_EQ(state->records.records.size(), 2U);
}

// A VM that had just become a relay hid a server's leaving from its members, which sent
// requests to it later than the bound.
TEST(record_link, leaving_server_is_hidden_by_a_relay_that_lists_an_older_state)
{
    keyed_vms  vms;
    auto const now = boot_clock::now();
    vms.relay.merge("servers", {.end = 2, .records = {"a=ready", "b=ready"}}, now);
    vms.relay.merge("servers", {.from = 2, .end = 3, .records = {"a=leaving"}}, now);
    vms.relay.replace("servers", {.end = 2, .records = {"a=ready", "b=ready"}},
                      now - millis{1500});
    records_query const query{"servers", 2, millis{100}};
    auto const          reply = vms.run([&] { return vms.member.fetch(query); });
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->records, std::vector<std::string>{"a=leaving"});
}

// The relay lags behind. Members that asked again at once would slow it down further, and
// it would never catch up.
TEST(record_link, member_of_a_lagging_relay_waits_between_its_queries)
{
    keyed_vms vms;
    vms.relay.merge("servers", {.from = 0, .end = 7, .covered = 7},
                    boot_clock::now() - millis{1500});
    records_query query{"servers", 7, millis{600}};
    query.max_age = millis{1300};
    query.accept_older = true;
    auto const began = boot_clock::now();
    auto const reply = vms.run([&] { return vms.member.fetch(query); });
    EXPECT_TRUE(reply);
    EXPECT_GE(boot_clock::now() - began, millis{500});
}

// 2. Daemons

constexpr int fleet_size = 5; // with a mesh of two, one VM reads the store for all

/// The last relay plan that a VM has logged.
std::string last_plan(entry_cluster const& cluster, int index)
{
    auto const text = cluster.output(index);
    auto const last = text.rfind("ev=relays ");
    return last == std::string::npos ? ""
                                     : text.substr(last, text.find('\n', last) - last);
}

bool is_relay(entry_cluster const& cluster, int index)
{
    return last_plan(cluster, index).find("relay=1") != std::string::npos;
}

/// Whether all VMs plan with the whole fleet: there are two relays, and one of them
/// queries the other. VMs that know only some of the others choose other relays.
bool planned(entry_cluster const& cluster)
{
    int        relays = 0;
    int        askers = 0;
    auto const whole = " vms=" + std::to_string(fleet_size);
    for (int index = 0; index < fleet_size; ++index)
    {
        if (!last_plan(cluster, index).ends_with(whole))
        {
            return false;
        }
        relays += is_relay(cluster, index) ? 1 : 0;
        bool const asks =
            last_plan(cluster, index).find("records_from=127") != std::string::npos;
        askers += asks ? 1 : 0;
    }
    return relays == 2 && askers == fleet_size - 1;
}

/// A fleet whose members have found their relays.
std::unique_ptr<entry_cluster> fleet(std::string bounds = "", bool relayed = false)
{
    auto cluster =
        std::make_unique<entry_cluster>(cluster_options{.daemons = fleet_size,
                                                        .bounds = std::move(bounds),
                                                        .mesh = 2,
                                                        .relayed = relayed});
    EXPECT_TRUE(eventually([&] { return planned(*cluster); }, 10000));
    return cluster;
}

int status_at(entry_cluster const& cluster, int index)
{
    return ask(cluster.caller_port(index), {}).status;
}

bool all_answer(entry_cluster const& cluster, int status)
{
    for (int index = 0; index < fleet_size; ++index)
    {
        if (status_at(cluster, index) != status)
        {
            return false;
        }
    }
    return true;
}

// A withdrawn key must also stop working at VMs that read the store only through relays.
TEST(platform_relays, withdrawn_key_stops_working_on_all_vms)
{
    auto const cluster = fleet();
    EXPECT_TRUE(eventually([&] { return all_answer(*cluster, 200); }));
    cluster->configure(2, {"key-other"});
    EXPECT_TRUE(eventually([&] { return all_answer(*cluster, 401); }, 3000));
}

// The store responds to no VM. Members still get replies from their relays, but must not
// accept keys for longer than the relays do.
TEST(platform_relays, members_refuse_keyed_calls_when_relays_have_lost_the_store)
{
    auto const cluster = fleet("key_life_ms = 5000\n");
    EXPECT_TRUE(eventually([&] { return all_answer(*cluster, 200); }));
    cluster->store().trouble(store_fault_kind::silent);
    EXPECT_TRUE(eventually([&] { return all_answer(*cluster, 503); }, 6000));
    cluster->store().trouble(store_fault_kind::none);
    EXPECT_TRUE(eventually([&] { return all_answer(*cluster, 200); }, 10000));
}

// Both relays freeze. Their members must read the store themselves before their records
// of the keys are too old, so that no call fails.
TEST(platform_relays, members_go_on_without_their_relays)
{
    auto const       cluster = fleet();
    std::vector<int> members;
    EXPECT_TRUE(eventually([&] { return all_answer(*cluster, 200); }));
    for (int index = 0; index < fleet_size; ++index)
    {
        if (is_relay(*cluster, index))
        {
            cluster->daemon(index).signal(SIGSTOP);
        }
        else
        {
            members.push_back(index);
        }
    }
    ASSERT_EQ(members.size(), 3U);
    auto const until = std::chrono::steady_clock::now() + std::chrono::seconds{6};
    while (std::chrono::steady_clock::now() < until)
    {
        for (auto const index : members)
        {
            ASSERT_EQ(status_at(*cluster, index), 200) << cluster->output(index);
        }
        std::this_thread::sleep_for(millis{100});
    }
    for (auto const index : members)
    {
        EXPECT_NE(cluster->output(index).find("ev=relays_lost"), std::string::npos);
    }
    for (int index = 0; index < fleet_size; ++index)
    {
        cluster->daemon(index).signal(SIGCONT);
    }
}

/// The lines of a VM that contain `word`.
std::string lines_of(entry_cluster const& cluster, int index, std::string const& word)
{
    std::string        result;
    std::istringstream text(cluster.output(index));
    for (std::string line; std::getline(text, line);)
    {
        bool const wanted = line.find(word) != std::string::npos;
        result += wanted ? std::to_string(index) + " " + line + "\n" : "";
    }
    return result;
}

/// The lines of all VMs about their lists of servers and their relays.
std::string server_lines(entry_cluster const& cluster)
{
    std::string result;
    for (int index = 0; index < fleet_size; ++index)
    {
        result +=
            lines_of(cluster, index, "ev=server") + lines_of(cluster, index, "ev=relays");
    }
    return result;
}

/// Stops a VM's process for a time.
void freeze(entry_cluster& cluster, int index, millis duration)
{
    cluster.daemon(index).signal(SIGSTOP);
    std::this_thread::sleep_for(duration);
    cluster.daemon(index).signal(SIGCONT);
}

// Silent relays were taken for an outage of the store, after which removed servers are
// kept in use.
TEST(platform_relays, removed_server_gets_no_requests_while_relays_fall_silent)
{
    constexpr std::chrono::seconds drain{2}; // requests may arrive for so long
    constexpr millis               silence{1200};
    constexpr millis               pause{1300};
    arrival_times                  arrivals;
    auto const                     cluster = fleet();
    cluster->server(0).handle_always(headed_response(arrivals, ""));
    std::vector<int> relays;
    std::vector<int> members;
    for (int index = 0; index < fleet_size; ++index)
    {
        (is_relay(*cluster, index) ? relays : members).push_back(index);
    }
    ASSERT_EQ(relays.size(), 2U);
    std::atomic<bool> stopping{false};
    std::thread       caller(
        [&]
        {
            for (std::size_t call = 0; !stopping; ++call)
            {
                static_cast<void>(status_at(*cluster, members[call % members.size()]));
                std::this_thread::sleep_for(millis{10});
            }
        });
    freeze(*cluster, relays[0], silence);
    freeze(*cluster, relays[1], silence);
    cluster->store().remove("keyed.servers", cluster->server(0).id());
    auto const removed = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(pause);
    freeze(*cluster, relays[0], silence);
    freeze(*cluster, relays[1], silence);
    std::this_thread::sleep_for(drain);
    stopping = true;
    caller.join();
    EXPECT_GE(arrivals.count(removed - drain, removed), 1U);
    EXPECT_EQ(arrivals.count(removed + drain, std::chrono::steady_clock::now()), 0U)
        << server_lines(*cluster);
}

// The relays had lost the store, and their members, which had not, went on with old lists
// of servers.
TEST(platform_relays, leaving_server_gets_no_requests_while_relays_have_lost_the_store)
{
    constexpr std::chrono::seconds drain{2}; // requests may arrive for so long
    constexpr millis               head_start{300};
    arrival_times                  arrivals;
    auto const                     cluster = fleet("key_life_ms = 30000\n", true);
    cluster->server(0).handle_always(headed_response(arrivals, ""));
    std::vector<int> members;
    for (int index = 0; index < fleet_size; ++index)
    {
        if (is_relay(*cluster, index))
        {
            cluster->store_relay(index).silence_all(true);
        }
        else
        {
            members.push_back(index);
        }
    }
    ASSERT_EQ(members.size(), 3U);
    std::atomic<bool> stopping{false};
    std::atomic<int>  failed{0};
    std::thread       caller(
        [&]
        {
            for (std::size_t call = 0; !stopping; ++call)
            {
                auto const status = status_at(*cluster, members[call % members.size()]);
                failed += status == 200 ? 0 : 1;
                std::this_thread::sleep_for(millis{10});
            }
        });
    std::this_thread::sleep_for(head_start);
    cluster->list_server(cluster->server(0), "draining");
    auto const left = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(drain + millis{2500});
    stopping = true;
    caller.join();
    EXPECT_GE(arrivals.count(left - drain, left), 1U);
    EXPECT_EQ(arrivals.count(left + drain, std::chrono::steady_clock::now()), 0U)
        << server_lines(*cluster);
    EXPECT_EQ(failed, 0);
}

/// The ages of the list at the sends that a VM has logged, in ms.
std::vector<int> list_ages(entry_cluster const& cluster, int index)
{
    std::vector<int>   ages;
    std::istringstream lines(lines_of(cluster, index, "ev=send "));
    std::string        field;
    while (lines >> field)
    {
        if (field.starts_with("list_ms="))
        {
            ages.push_back(std::stoi(field.substr(field.find('=') + 1)));
        }
    }
    return ages;
}

// In calm, lists were kept young enough only by confirmations at the store, so that one
// lost query made them too old just as the first servers left.
TEST(platform_relays, lists_grow_old_while_nothing_changes)
{
    constexpr int max_age = 1000; // ms; half of the bound of 2 s
    auto const    cluster = fleet();
    std::this_thread::sleep_for(millis{1000});
    std::vector<std::size_t> before;
    for (int index = 0; index < fleet_size; ++index)
    {
        before.push_back(list_ages(*cluster, index).size());
    }
    auto const until = boot_clock::now() + millis{4000};
    while (boot_clock::now() < until)
    {
        EXPECT_TRUE(all_answer(*cluster, 200));
        std::this_thread::sleep_for(millis{5});
    }
    std::this_thread::sleep_for(millis{500}); // until the log is written
    for (int index = 0; index < fleet_size; ++index)
    {
        auto const ages = list_ages(*cluster, index);
        ASSERT_GT(ages.size(), before[static_cast<std::size_t>(index)] + 4);
        auto const calm = std::vector<int>(
            ages.begin() + static_cast<std::ptrdiff_t>(before[index]), ages.end());
        EXPECT_LT(*std::max_element(calm.begin(), calm.end()), max_age);
    }
}

// One VM of a small fleet had lost the store, and went on with an old list of servers
// though the others knew better.
TEST(platform_relays, leaving_server_gets_no_requests_from_a_vm_that_has_lost_the_store)
{
    constexpr std::chrono::seconds drain{2}; // requests may arrive for so long
    arrival_times                  arrivals;
    entry_cluster                  cluster(
                         {.daemons = 3, .bounds = "key_life_ms = 30000\n", .relayed = true});
    cluster.server(0).handle_always(headed_response(arrivals, ""));
    // It has heard of the others, by the store.
    ASSERT_TRUE(eventually([&] { return last_plan(cluster, 2).ends_with(" vms=3"); }));
    cluster.store_relay(2).silence_all(true);
    std::atomic<bool> stopping{false};
    std::thread       caller(
        [&]
        {
            while (!stopping)
            {
                static_cast<void>(status_at(cluster, 2));
                std::this_thread::sleep_for(millis{10});
            }
        });
    std::this_thread::sleep_for(millis{300});
    cluster.list_server(cluster.server(0), "draining");
    auto const left = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(2 * drain);
    stopping = true;
    caller.join();
    EXPECT_GE(arrivals.count(left - drain, left), 1U);
    EXPECT_EQ(arrivals.count(left + drain, std::chrono::steady_clock::now()), 0U)
        << lines_of(cluster, 2, "ev=old_list") << lines_of(cluster, 2, "ev=server");
}

/// Another writer's records: deeply nested, or with a number out of range.
void write_odd_entries(store_standin& store)
{
    std::string const nested(100'000, '[');
    std::string const numbers =
        R"({"service":"desk","address":"127.0.0.1:70000","zone":"z","state":"ready",)"
        R"("version":"v1","slots":18446744073709551615,"born":1e999,"capacity":-1})";
    for (auto const* topic : {"keyed.servers", "keyed.op", "keyed.relays",
                              "keyed.crashes", "keyed.versions", "keyed.origins"})
    {
        store.put(topic, "odd-1", nested);
        store.put(topic, "odd-2", numbers);
        store.put(topic, "odd-3", "\xff\xfe");
    }
    for (auto const* topic : {"usage", "duty"})
    {
        store.append(topic, nested);
        store.append(topic, numbers);
    }
}

// A VM that read an odd entry ended, or no longer followed the list of servers.
TEST(platform_relays, odd_entries_hide_no_others)
{
    auto const cluster = fleet();
    write_odd_entries(cluster->store());
    std::this_thread::sleep_for(millis{1500});
    for (int index : {0, fleet_size - 1})
    {
        cluster->restart(index);
        ASSERT_TRUE(eventually([&] { return cluster->ready(index); }, 10000));
    }
    cluster->list_server(cluster->server(0), "draining");
    std::this_thread::sleep_for(millis{2000});
    auto const before = cluster->server(0).received_requests().size();
    EXPECT_TRUE(all_answer(*cluster, 200));
    EXPECT_EQ(cluster->server(0).received_requests().size(), before);
    for (int index = 0; index < fleet_size; ++index)
    {
        auto const lines = cluster->output(index);
        EXPECT_EQ(lines.find("server=odd-"), std::string::npos) << index;
    }
}

// Members hear of an outage of the store only through their relays. Entries that lapsed
// in it were dropped, and calls refused until the servers had renewed them.
TEST(platform_relays, servers_that_lapse_in_an_outage_of_the_store_stay_in_use)
{
    constexpr millis outage{4500};
    constexpr millis renewal{1000}; // after the outage
    auto const       cluster = fleet("key_life_ms = 30000\n");
    cluster->store().trouble(store_fault_kind::silent);
    std::this_thread::sleep_for(outage);
    for (int server = 0; server < 2; ++server)
    {
        cluster->store().remove("keyed.servers", cluster->server(server).id());
    }
    cluster->store().trouble(store_fault_kind::none);
    auto const listed = std::chrono::steady_clock::now() + renewal;
    int        failed = 0;
    auto const ask_until = [&](std::chrono::steady_clock::time_point end)
    {
        for (int call = 0; std::chrono::steady_clock::now() < end; ++call)
        {
            failed += status_at(*cluster, call % fleet_size) == 200 ? 0 : 1;
            std::this_thread::sleep_for(millis{10});
        }
    };
    ask_until(listed);
    for (int server = 0; server < 2; ++server)
    {
        cluster->list_server(cluster->server(server));
    }
    ask_until(listed + millis{2500});
    EXPECT_EQ(failed, 0);
}

// All VMs of a large fleet lose power and start at once. If each read the whole usage
// log, the store would be overloaded and respond to none in time.
TEST(platform_relays, vm_that_starts_again_reads_only_the_end_of_the_usage_log)
{
    constexpr int record_count = 3000;
    entry_cluster cluster({.daemons = 2});
    for (int index = 0; index < record_count; ++index)
    {
        cluster.store().append("usage", "not a record");
    }
    cluster.restart(1);
    EXPECT_TRUE(eventually(
        [&]
        { return cluster.output(1).find("ev=usage_log from=2") != std::string::npos; },
        5000));
    EXPECT_TRUE(eventually([&] { return cluster.ready(1); }, 5000));
}

// VMs start again one after the other, or all at once. If each listed all servers at the
// store, thousands of servers times hundreds of VMs would use up its bandwidth.
TEST(platform_relays, vm_that_starts_again_gets_the_state_from_its_relays)
{
    auto const cluster = fleet();
    EXPECT_TRUE(eventually([&] { return all_answer(*cluster, 200); }));
    EXPECT_TRUE(eventually(
        [&] { return cluster->store().request_count("log-append", "keyed.relays") >= 2; },
        8000));
    auto const listings = [&](std::string const& topic)
    {
        return cluster->store().request_count("log-newest", topic);
    };
    auto const servers = listings("keyed.servers");
    auto const rules = listings("keyed.op");
    for (int index = 0; index < fleet_size; ++index)
    {
        if (!is_relay(*cluster, index))
        {
            cluster->restart(index);
            EXPECT_TRUE(eventually([&] { return cluster->ready(index); }, 5000));
            EXPECT_TRUE(eventually([&] { return status_at(*cluster, index) == 200; }));
        }
    }
    EXPECT_EQ(listings("keyed.servers"), servers);
    EXPECT_EQ(listings("keyed.op"), rules);
}

// The store is lost for one VM of a small fleet, which may be the one that reads for the
// others. The others must still learn of new rules in time.
TEST(platform_relays, small_fleet_learns_of_rules_while_one_vm_has_lost_the_store)
{
    entry_cluster cluster({.daemons = 3, .relayed = true});
    std::uint64_t version = 1;
    for (int lost = 0; lost < 3; ++lost)
    {
        cluster.store_relay(lost).cut(true);
        auto const key = "key-" + std::to_string(lost);
        cluster.configure(++version, {key});
        auto const serves = [&](int daemon)
        {
            return ask(cluster.caller_port(daemon), {.key = key}).status == 200;
        };
        for (int daemon = 0; daemon < 3; ++daemon)
        {
            EXPECT_TRUE(daemon == lost ||
                        eventually([&] { return serves(daemon); }, 2000))
                << lost << " lost, " << daemon << " asked";
        }
        cluster.store_relay(lost).cut(false);
        EXPECT_TRUE(eventually([&] { return serves(lost); }, 8000));
    }
}

} // namespace
} // namespace marigoldcrank::tests
