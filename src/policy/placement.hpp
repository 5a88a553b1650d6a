// Which server a call goes to, from the work that all VMs heard of have there.
//
// Index: 1 placement_options, 2 candidate, 3 placement, 4 place_plain, 5 place_model,
//        6 place_decode
//
// Load answered: prompts of a few hundred to tens of thousands of tokens that share long
// parts, on engines of which those for prefill read twice as fast as those for decode.
#ifndef MARIGOLDCRANK_POLICY_PLACEMENT_HPP
#define MARIGOLDCRANK_POLICY_PLACEMENT_HPP

#include "domain/backend_server.hpp"
#include "domain/caller_call.hpp"
#include "policy/peer_loads.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct placement_options
{
    // 2     a decode engine reads prompts at half the speed of a prefill engine
    double decode_reads_slower = 2;
    // 5     times; weight of shared tokens that would be read again where they aren't
    //       cached: the engines' time for them is everybody's. Of 2.3 million tokens that
    //       were read again in a day of 13 million, 1.4 million are left (mean of six
    //       days)
    double read_again = 5;
    // 1500  tokens; most that may wait to be read at an engine that decodes, while others
    //       read only. Without this a swing to long prompts fills the decoding engines,
    //       and every stream on them stalls: they were given 34,000 tokens a second to
    //       read, of 27,000 that they can read when they do nothing else
    std::int64_t decode_reads = 1500;
    // 300   tokens; a prompt with fewer own ones is read where it is decoded
    std::int64_t handover_least = 300;
    // 800   tokens; what handing a prompt over costs: a call, a transfer, often a
    //       connection. With less, short prompts are handed over between idle engines too
    std::int64_t handover_cost = 800;
    // 60    tokens; a running stream slows an engine's step like so many tokens to read
    std::int64_t stream_tokens = 60;
    // 100   tokens; what a way between data centres costs in time and bytes
    std::int64_t distance_tokens = 100;

    bool operator==(placement_options const&) const = default;
};

/// A server with what is in work there, of this VM and of those it has heard of.
struct candidate
{
    backend_server const* server = nullptr;
    server_load           load;
    bool                  suspect = false; // has failed lately: last choice
};

/// Where a model call goes first.
struct placement
{
    backend_server const* server = nullptr;
    bool         prefill_only = false; // reads the prompt; another one runs the call
    std::int64_t unread = 0; // tokens to be read there, as far as caches are known
    std::int64_t ahead = 0;  // tokens that are read there before these
};

/// The least loaded server for a plain call, those of the own data centre first among
/// equals. `ticket` breaks ties, so that VMs don't all pick the same. Null if there is
/// none.
backend_server const* place_plain(std::vector<candidate> const& candidates,
                                  std::string const& data_centre, std::uint64_t ticket);

/// The first engine for a model call; nothing if no engine can decode.
std::optional<placement> place_model(std::vector<candidate> const& candidates,
                                     caller_call const&            call,
                                     std::string const& data_centre, std::uint64_t ticket,
                                     placement_options const& options);

/// The engine that runs a call whose prompt another one has read. Asked only then:
/// reading can take seconds, in which engines begin to leave and loads change. Null if
/// there is none.
backend_server const* place_decode(std::vector<candidate> const& candidates,
                                   std::string const& data_centre, std::uint64_t ticket,
                                   placement_options const& options);

} // namespace marigoldcrank

#endif
