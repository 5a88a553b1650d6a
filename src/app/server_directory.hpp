// What this entry VM knows of the backend servers, in shards by group.
//
// Index: 1 server_directory, 2 server_lease (a place taken on a server)
#ifndef MARIGOLDCRANK_APP_SERVER_DIRECTORY_HPP
#define MARIGOLDCRANK_APP_SERVER_DIRECTORY_HPP

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

    /// All servers of one group, as routing sees them.
    std::vector<server_view> group(std::string const& name) const;

    /// All servers.
    std::vector<backend_server> all() const;

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

    shard&       shard_of(std::string const& group);
    shard const& shard_of(std::string const& group) const;

    template <class Change>
    void change(backend_server const& server, Change&& apply);

    std::array<shard, shard_count> shards_;
};

} // namespace marigoldcrank

#endif
