// Polls the server list of the platform and the load reports of the servers into the
// directory.
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

/// Polling intervals.
struct poll_options
{
    millis list_every{500}; // 500  ms; between reads of the VM list
    millis load_every{200}; // 200  ms; between reads of one server's load

    bool operator==(poll_options const&) const = default;
};

/// Reads the list and the load of each server independently: a frozen server delays
/// neither the reports of others nor the list, and an unresponsive platform delays no
/// report. A server that misses a report is polled less and less often, so that many
/// frozen servers leave reader threads for the rest. If the platform fails, the directory
/// keeps the servers last seen, and serving goes on.
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
    static constexpr millis      max_pause{1000};
    static constexpr int         max_doublings = 8;

    /// State of the reads of one server, of which at most one is in progress.
    struct read_state
    {
        bool                   in_progress = false;
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
                    // A VM that has been created but has not started has no address yet.
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
            erase_unlisted(servers);
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

    void erase_unlisted(std::vector<backend_server> const& servers)
    {
        std::lock_guard const lock(mutex_);
        std::erase_if(reads_,
                      [&](auto const& entry)
                      {
                          auto const same = [&](backend_server const& server)
                          {
                              return server.id == entry.first;
                          };
                          return !entry.second.in_progress &&
                                 std::none_of(servers.begin(), servers.end(), same);
                      });
    }

    bool begin_read(backend_server const& server, boot_clock::time_point now)
    {
        std::lock_guard const lock(mutex_);
        auto&                 state = reads_[server.id];
        bool const            due = !state.in_progress && now >= state.next;
        state.in_progress = state.in_progress || due;
        return due;
    }

    void end_read(backend_server const& server, bool succeeded)
    {
        std::lock_guard const lock(mutex_);
        auto&                 state = reads_[server.id];
        state.in_progress = false;
        state.misses = succeeded ? 0 : std::min(state.misses + 1, max_doublings);
        auto const pause = options_.load_every * ((1 << state.misses) - 1);
        state.next = boot_clock::now() + std::min(pause, max_pause);
    }

    void read_load(backend_server const& server)
    {
        bool const succeeded = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_AUTO(load, backend_.load(server));
                directory_.report(server, load);
                return true;
            },
            [] { return false; });
        if (!succeeded)
        {
            directory_.missed_report(server);
        }
        end_read(server, succeeded);
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
