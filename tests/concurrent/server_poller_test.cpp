// The poller must keep reading while one server is frozen and the list fails at times.
#include "app/server_poller.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <atomic>

namespace marigoldcrank
{
namespace
{

struct fake_list
{
    std::atomic<int> reads{0};

    leaf::result<std::vector<backend_server>> backend_servers()
    {
        std::vector<backend_server> servers;
        for (auto const* id : {"frozen", "good-1", "good-2"})
        {
            servers.push_back({.id = id, .group = "wording"});
        }
        // The list fails at times; the servers read before must stay.
        if (++reads % 3 == 0)
        {
            return leaf::new_error(transport_failure{});
        }
        return servers;
    }
};

struct fake_backend
{
    std::atomic<bool> released{false};
    std::atomic<int>  frozen_reads{0};
    std::atomic<int>  good_reads{0};

    leaf::result<load_report> load(backend_server const& server)
    {
        if (server.id != "frozen")
        {
            ++good_reads;
            return load_report{.running = 7};
        }
        ++frozen_reads;
        while (!released)
        {
            std::this_thread::sleep_for(millis{1});
        }
        return leaf::new_error(transport_failure{});
    }
    leaf::result<void> stream(backend_server const&, engine_call const&,
                              event_sink const&)
    {
        return {};
    }
    leaf::result<service_response> call(backend_server const&, service_call const&)
    {
        return service_response{};
    }
    void cancel(backend_server const&, std::string const&, std::uint64_t) {}
};

TEST(server_poller, reads_on_while_one_server_is_frozen)
{
    fake_list                              list;
    fake_backend                           backend;
    server_directory                       directory;
    server_poller<fake_list, fake_backend> poller(list, backend, directory,
                                                  {millis{1}, millis{1}});
    EXPECT_TRUE(
        tests::eventually([&] { return backend.good_reads > 100 && list.reads > 100; }));
    EXPECT_EQ(backend.frozen_reads, 1);
    EXPECT_EQ(directory.group("wording").size(), 3U);
    backend.released = true;
    EXPECT_TRUE(tests::eventually([&] { return backend.frozen_reads > 2; }));
    for (auto const& view : directory.group("wording"))
    {
        EXPECT_EQ(view.missed_reports > 0, view.server.id == "frozen");
    }
}

} // namespace
} // namespace marigoldcrank
