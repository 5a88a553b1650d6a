// Backend servers as this entry VM knows them, in shards by group.
//
// Index: server_directory
#ifndef MARIGOLDCRANK_APP_SERVER_DIRECTORY_HPP
#define MARIGOLDCRANK_APP_SERVER_DIRECTORY_HPP

#include "ledger/drain_fold.hpp"
#include "policy/route.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Thread-safe; all servers of a group are in one shard, under the lock of that shard.
class server_directory
{
public:
    /// Replaces the list of servers by that of the platform: adds new ones, removes
    /// missing ones and keeps what is known of the others.
    void replace(std::vector<backend_server> const& servers);

    /// Stores a load report; reports of unknown servers are ignored.
    void report(backend_server const& server, load_report const& load);

    /// Sets the servers that routing skips because an open order will take them out of
    /// service. All others become available again.
    void set_draining(std::set<std::string> const& servers);

    /// Counts a load report that did not arrive.
    void missed_report(backend_server const& server);

    /// Sets the drains that operators have ordered.
    void set_drains(drain_list drains);

    /// All servers of one group, as routing uses them. A server is leaving as soon as the
    /// list of the platform, the server itself or a drain by an operator says so: the
    /// list lags, and a server that was ordered to stop may be gone before the list shows
    /// it.
    std::vector<server_view> group(std::string const& name) const;

    /// All servers.
    std::vector<backend_server> all() const;

    /// Number of requests that this entry VM runs on all servers.
    std::int64_t own_running() const;

    /// Count the calls of this entry VM as they start, give their first token and end.
    /// Load reports lag; without these counts, all requests of a moment would go to the
    /// server that was idle in its last report.
    void begin(backend_server const& server, std::int64_t prompt_tokens);
    void first_token(backend_server const& server, std::int64_t prompt_tokens);
    void end(backend_server const& server, bool succeeded);

private:
    struct shard
    {
        mutable std::mutex                                        mutex;
        std::map<std::string, std::map<std::string, server_view>> groups;
    };
    static constexpr std::size_t shard_count = 16;

    std::shared_ptr<drain_list const> drains() const;

    shard&       shard_of(std::string const& group);
    shard const& shard_of(std::string const& group) const;

    template <class Change>
    void change(backend_server const& server, Change&& apply);

    static void mark_leaving(server_view& view, drain_list const& drains);

    std::array<shard, shard_count>    shards_;
    mutable std::mutex                drains_mutex_;
    std::shared_ptr<drain_list const> drains_ = std::make_shared<drain_list const>();
};

} // namespace marigoldcrank

#endif
