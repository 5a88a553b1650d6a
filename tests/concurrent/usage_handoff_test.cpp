// Tests the handoff of usage from several threads to a peer and the log, with fake ports.
#include "app/usage_recorder.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace marigoldcrank
{
namespace
{

/// A log that loses every third response after the record took effect.
class fake_log
{
public:
    explicit fake_log(ledger_store& store) : store_(store) {}

    leaf::result<std::uint64_t> append(std::string const& text)
    {
        std::uint64_t offset = 0;
        {
            std::lock_guard const lock(mutex_);
            offset = ++last_;
            store_.apply(offset, text, boot_clock::now());
        }
        if (offset % 3 == 0)
        {
            return leaf::new_error(append_failure{true});
        }
        return offset;
    }

    leaf::result<log_page> read(std::uint64_t, millis)
    {
        return log_page{};
    }

private:
    ledger_store& store_;
    std::mutex    mutex_;
    std::uint64_t last_ = 0;
};

/// Peers that store the usage they receive; `deliver` acknowledges it.
class fake_peers
{
public:
    using acknowledge =
        std::function<void(std::string const&, wire::usage_handoff_ack const&)>;

    void broadcast(wire::peer_message const&) {}

    void send(std::string const& name, wire::peer_message const& message)
    {
        std::lock_guard const lock(mutex_);
        inbox_.emplace_back(name, message);
    }

    std::vector<std::string> live() const
    {
        return {};
    }

    void deliver(acknowledge const& acknowledged)
    {
        std::vector<std::pair<std::string, wire::peer_message>> taken;
        {
            std::lock_guard const lock(mutex_);
            taken.swap(inbox_);
        }
        for (auto const& [name, message] : taken)
        {
            custody.take(message.handoff(), boot_clock::now());
            wire::usage_handoff_ack ack;
            ack.set_node(message.handoff().node());
            ack.set_incarnation(message.handoff().incarnation());
            ack.set_sequence(message.handoff().sequence());
            acknowledged(name, ack);
        }
    }

    usage_custody custody;

private:
    std::mutex                                              mutex_;
    std::vector<std::pair<std::string, wire::peer_message>> inbox_;
};

static_assert(platform_log_port<fake_log>);
static_assert(peer_port<fake_peers>);

TEST(usage_handoff, concurrent_deltas_are_counted_exactly_once)
{
    constexpr int        threads = 4;
    constexpr int        deltas = 100;
    ledger_store         store([] {});
    fake_log             log(store);
    log_writer<fake_log> writer(log, store);
    fake_peers           peers;
    peer_roster          roster("dc-1", millis{60000});
    roster.record_heartbeat("node-2", {.incarnation = "run",
                                       .data_centre = "dc-1",
                                       .last_heartbeat = boot_clock::now()});
    usage_recorder<fake_log, fake_peers> recorder(writer, store, peers, roster,
                                                  {"node-1", "run", millis{20000}});
    std::atomic<bool>                    done{false};
    std::thread                          peer(
        [&]
        {
            while (!done)
            {
                peers.deliver([&](auto const& name, auto const& ack)
                              { recorder.acknowledged(name, ack); });
            }
        });
    std::thread flusher(
        [&]
        {
            while (!done)
            {
                recorder.flush(millis{1000});
            }
        });
    std::atomic<int>         recorded{0};
    std::vector<std::thread> servers;
    for (int index = 0; index < threads; ++index)
    {
        servers.emplace_back(
            [&]
            {
                for (int round = 0; round < deltas; ++round)
                {
                    wire::usage_delta delta;
                    delta.set_workspace("north");
                    delta.set_output_tokens(1);
                    recorded += recorder.add(delta) ? 1 : 0;
                }
            });
    }
    for (auto& server : servers)
    {
        server.join();
    }
    EXPECT_TRUE(tests::eventually([&] { return recorder.waiting() == 0; }));
    done = true;
    peer.join();
    flusher.join();
    EXPECT_EQ(recorded, threads * deltas);
    store.with_ledger(
        [&](ledger const& value)
        {
            auto const& open = value.usage().open();
            EXPECT_EQ(open.at({"north", ""}).output_tokens,
                      static_cast<std::uint64_t>(threads * deltas));
            peers.custody.erase_counted(value.usage());
            return 0;
        });
    EXPECT_EQ(peers.custody.size(), 0U);
}

/// Guards against usage that is lost when two nodes fail one after the other: first the
/// custodian of a delta, then the node itself. The delta must be handed to another peer
/// when its custodian goes.
TEST(usage_handoff, a_delta_whose_custodian_is_gone_is_handed_to_another)
{
    ledger_store         store([] {});
    fake_log             log(store);
    log_writer<fake_log> writer(log, store);
    fake_peers           peers;
    peer_roster          roster("dc-1", millis{60000});
    auto const           now = boot_clock::now();
    roster.record_heartbeat("node-2", {.data_centre = "dc-1", .last_heartbeat = now});
    usage_recorder<fake_log, fake_peers> recorder(writer, store, peers, roster,
                                                  {"node-1", "run", millis{1}});
    EXPECT_FALSE(recorder.add({})); // not acknowledged yet; stays in memory
    std::vector<std::string> receivers;
    auto const               deliver = [&]
    {
        peers.deliver(
            [&](auto const& name, auto const& ack)
            {
                receivers.push_back(name);
                recorder.acknowledged(name, ack);
            });
    };
    deliver();
    recorder.hand_off_again(now);
    deliver();
    EXPECT_EQ(receivers, std::vector<std::string>{"node-2"});
    roster.record_heartbeat(
        "node-2", {.data_centre = "dc-1", .draining = true, .last_heartbeat = now});
    roster.record_heartbeat("node-3", {.data_centre = "dc-2", .last_heartbeat = now});
    recorder.hand_off_again(now);
    deliver();
    EXPECT_EQ(receivers, (std::vector<std::string>{"node-2", "node-3"}));
}

} // namespace
} // namespace marigoldcrank
