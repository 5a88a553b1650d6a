// Reads the platform's list and the servers' load reports into the directory.
//
// Index: server_poller
#ifndef MARIGOLDCRANK_APP_SERVER_POLLER_HPP
#define MARIGOLDCRANK_APP_SERVER_POLLER_HPP

#include "app/server_directory.hpp"
#include "app/worker_pool.hpp"
#include "ports/backend_port.hpp"
#include "ports/platform_port.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace marigoldcrank
{

/// How often to read.
struct poll_options
{
    millis list_every{500}; // 500  between reads of the VM list, ms
    millis load_every{200}; // 200  between reads of one server's load, ms

    bool operator==(poll_options const&) const = default;
};

/// The list, and each server's load, is read on its own: a server that is frozen holds up
/// neither the reports of the others nor the list, and a platform that does not answer
/// holds up no report. A server that misses is asked less and less often, so that many
/// frozen ones leave readers for the rest. An old list is kept while the platform is out:
/// serving goes on with the servers last seen.
template <vm_list_port List, backend_port Backend>
class server_poller
{
public:
    server_poller(List& list, Backend& backend, server_directory& directory,
                  poll_options options)
        : list_(list), backend_(backend), directory_(directory), options_(options),
          readers_(reader_count), list_thread_([this] { run_list(); }),
          load_thread_([this] { run_loads(); })
    {
    }

    ~server_poller()
    {
        stop();
    }

    void stop()
    {
        stopping_ = true;
        for (auto* thread : {&list_thread_, &load_thread_})
        {
            if (thread->joinable())
            {
                thread->join();
            }
        }
    }

private:
    static constexpr std::size_t reader_count = 8;
    static constexpr millis      longest_pause{1000};
    static constexpr int         most_doublings = 8;

    /// One server's reads: at most one at a time.
    struct read_state
    {
        bool                   under_way = false;
        int                    misses = 0;
        boot_clock::time_point next{};
    };

    void run_list()
    {
        while (!stopping_)
        {
            leaf::try_handle_all(
                [&]() -> leaf::result<void>
                {
                    BOOST_LEAF_AUTO(servers, list_.backend_servers());
                    // A VM that was bought and has not started has no address yet.
                    std::erase_if(servers, [](backend_server const& server)
                                  { return server.starting; });
                    directory_.replace(servers);
                    return {};
                },
                [] {});
            std::this_thread::sleep_for(options_.list_every);
        }
    }

    void run_loads()
    {
        while (!stopping_)
        {
            auto const servers = directory_.all();
            forget_missing(servers);
            for (auto const& server : servers)
            {
                if (begin_read(server, boot_clock::now()))
                {
                    readers_.post([this, server] { read_load(server); });
                }
            }
            std::this_thread::sleep_for(options_.load_every);
        }
    }

    void forget_missing(std::vector<backend_server> const& servers)
    {
        std::lock_guard const lock(mutex_);
        std::erase_if(reads_,
                      [&](auto const& entry)
                      {
                          auto const same = [&](backend_server const& server)
                          {
                              return server.id == entry.first;
                          };
                          return !entry.second.under_way &&
                                 std::none_of(servers.begin(), servers.end(), same);
                      });
    }

    bool begin_read(backend_server const& server, boot_clock::time_point now)
    {
        std::lock_guard const lock(mutex_);
        auto&                 state = reads_[server.id];
        bool const            due = !state.under_way && now >= state.next;
        state.under_way = state.under_way || due;
        return due;
    }

    void end_read(backend_server const& server, bool answered)
    {
        std::lock_guard const lock(mutex_);
        auto&                 state = reads_[server.id];
        state.under_way = false;
        state.misses = answered ? 0 : std::min(state.misses + 1, most_doublings);
        auto const pause = options_.load_every * ((1 << state.misses) - 1);
        state.next = boot_clock::now() + std::min(pause, longest_pause);
    }

    void read_load(backend_server const& server)
    {
        bool const answered = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_AUTO(load, backend_.load(server));
                directory_.report(server, load);
                return true;
            },
            [] { return false; });
        if (!answered)
        {
            directory_.missed_report(server);
        }
        end_read(server, answered);
    }

    List&                             list_;
    Backend&                          backend_;
    server_directory&                 directory_;
    poll_options                      options_;
    std::atomic<bool>                 stopping_{false};
    std::mutex                        mutex_;
    std::map<std::string, read_state> reads_; // by server id
    worker_pool                       readers_;
    std::thread                       list_thread_;
    std::thread                       load_thread_;
};

} // namespace marigoldcrank

#endif
