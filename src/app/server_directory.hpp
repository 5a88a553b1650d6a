// What this entry VM knows of the backend servers, in shards by group.
//
// Index: 1 server_directory, 2 server_lease (a place taken on a server)
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

/// Safe to use from several threads; each group's servers lie in one shard under its
/// lock.
class server_directory
{
public:
    /// Takes the platform's list: new servers come in, missing ones go.
    void replace(std::vector<backend_server> const& servers);

    /// Takes a load report; unknown servers are ignored.
    void report(backend_server const& server, load_report const& load);

    /// Servers that routing leaves out because an open order will take them out of
    /// service; all others are in again.
    void set_draining(std::set<std::string> const& servers);

    /// A load report did not come.
    void missed_report(backend_server const& server);

    /// Takes the operators' drains.
    void set_drains(drain_list drains);

    /// All servers of one group, as routing sees them: leaving is what the platform's
    /// list, the server itself or an operator's drain says, whichever says so first. The
    /// list lags, and a server that has been told to go may be gone before the list
    /// tells.
    std::vector<server_view> group(std::string const& name) const;

    /// All servers.
    std::vector<backend_server> all() const;

    /// Requests that this entry VM has at servers.
    std::int64_t own_running() const;

    /// Own work counts at once: reports lag, and without this every request of a moment
    /// goes to the server that was idle when it reported.
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
