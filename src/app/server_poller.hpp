// Reads the platform's list and the servers' load reports into the directory.
//
// Index: server_poller
#ifndef MARIGOLDCRANK_APP_SERVER_POLLER_HPP
#define MARIGOLDCRANK_APP_SERVER_POLLER_HPP

#include "adapters/logging.hpp"
#include "app/server_directory.hpp"
#include "ports/backend_port.hpp"
#include "ports/platform_port.hpp"

#include <tbb/parallel_for_each.h>

#include <atomic>
#include <thread>
#include <vector>

namespace marigoldcrank
{

/// One thread, which asks all servers at once by oneTBB. An old list is kept while the
/// platform is out: serving goes on with the servers last seen.
template <vm_list_port List, backend_port Backend>
class server_poller
{
public:
    server_poller(List& list, Backend& backend, server_directory& directory,
                  millis list_every, millis load_every)
        : list_(list), backend_(backend), directory_(directory), list_every_(list_every),
          load_every_(load_every), thread_([this] { run(); })
    {
    }

    ~server_poller()
    {
        stop();
    }

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    /// One read of the list; false if the platform did not answer.
    bool read_list()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_AUTO(servers, list_.backend_servers());
                // A VM that was bought and has not started has no address to ask yet.
                std::erase_if(servers, [](backend_server const& server)
                              { return server.starting; });
                directory_.replace(servers);
                return true;
            },
            [] { return false; });
    }

    void read_loads()
    {
        auto const servers = directory_.all();
        tbb::parallel_for_each(servers.begin(), servers.end(),
                               [&](backend_server const& server) { read_load(server); });
    }

private:
    void read_load(backend_server const& server)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(load, backend_.load(server));
                directory_.report(server, load);
                return {};
            },
            [] {});
    }

    void run()
    {
        boot_clock::time_point listed{};
        while (!stopping_)
        {
            auto const now = boot_clock::now();
            if (now - listed >= list_every_)
            {
                listed = now;
                read_list();
            }
            read_loads();
            std::this_thread::sleep_for(load_every_);
        }
    }

    List&             list_;
    Backend&          backend_;
    server_directory& directory_;
    millis            list_every_;
    millis            load_every_;
    std::atomic<bool> stopping_{false};
    std::thread       thread_;
};

} // namespace marigoldcrank

#endif
