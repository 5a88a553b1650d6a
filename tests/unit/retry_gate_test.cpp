// Backoff for a failing dependency, and recovery when it is back.
#include "policy/retry_gate.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// The store is unavailable for eight seconds and a VM polls every 100 ms: the store must
// be called a few times, not 80, and within two seconds of its return.
TEST(retry_gate, pauses_grow_while_a_dependency_fails)
{
    retry_gate             gate;
    boot_clock::time_point now{std::chrono::hours{1}};
    int                    calls = 0;
    for (int poll = 0; poll < 80; ++poll)
    {
        if (gate.open(now))
        {
            ++calls;
            gate.failed(now);
        }
        now += millis{100};
    }
    EXPECT_GE(calls, 4);
    EXPECT_LE(calls, 7);
    EXPECT_TRUE(gate.open(now + retry_gate_options{}.max_pause));
}

// Hundreds of VMs that read the store through relays would each probe it during an
// outage, although the probes of the relays alone notice its end soon enough.
TEST(retry_gate, slow_retries_probe_an_outage_rarely_and_open_on_success)
{
    retry_gate             gate{slow_retries};
    boot_clock::time_point now{std::chrono::hours{1}};
    int                    calls = 0;
    for (int poll = 0; poll < 80; ++poll)
    {
        calls += gate.open(now) ? 1 : 0;
        if (gate.open(now))
        {
            gate.failed(now);
        }
        now += millis{100};
    }
    EXPECT_LE(calls, 4);
    gate.succeeded();
    EXPECT_TRUE(gate.open(now));
}

// A VM becomes a relay while its gate has long pauses. They must become shorter at once,
// since other VMs wait for the records that it appends.
TEST(retry_gate, limit_shortens_a_grown_pause)
{
    retry_gate             gate{slow_retries};
    boot_clock::time_point now{std::chrono::hours{1}};
    for (int failure = 0; failure < 5; ++failure)
    {
        gate.failed(now);
    }
    gate.limit(retry_gate_options{});
    gate.failed(now);
    EXPECT_TRUE(gate.open(now + retry_gate_options{}.max_pause));
}

TEST(retry_gate, a_success_opens_the_gate_at_once)
{
    retry_gate             gate;
    boot_clock::time_point now{std::chrono::hours{1}};
    gate.failed(now);
    EXPECT_FALSE(gate.open(now));
    gate.succeeded();
    EXPECT_TRUE(gate.open(now));
}

// A VM loses the store and its relays, and a server leaves in the meantime. When the VM
// is connected again, it must learn of that first. With a wait of two seconds more, it
// sent calls to that server 13 s after the notice.
TEST(retry_gate, a_vm_that_alone_lost_the_store_does_not_wait)
{
    retry_gate             gate;
    boot_clock::time_point now{std::chrono::hours{1}};
    for (int failure = 0; failure < 5; ++failure)
    {
        gate.failed(now);
    }
    EXPECT_FALSE(gate.must_wait(false, now));
    EXPECT_TRUE(gate.must_wait(true, now));
}

} // namespace
} // namespace marigoldcrank
