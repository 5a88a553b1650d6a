// Which server a call goes to, from the work that all VMs heard of have there.
//
// Index: 1 engine_costs, 2 placement_options, 3 candidate, 4 placement, 5 place_plain,
//        6 place_model, 7 place_decode
//
// Load answered: prompts of a few hundred to tens of thousands of tokens that share long
// parts, on engines of which those for prefill read twice as fast as those for decode.
// Each way of having a prompt read is weighed by the time until it is read: where it
// waits least, where its shared parts are cached, with these fetched from the engine that
// keeps them, or read apart and handed over.
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

/// What reading and moving prompts takes at the engines of one service, as observed.
struct engine_costs
{
    // 50    tokens a ms that an engine reads when it does nothing else, until observed
    double read_speed = 50;
    // 25    the same of an engine that decodes
    double beside_speed = 25;
    // 50    ms that every read takes besides there
    double beside_fixed_ms = 50;
    // 50 and 30  ms that every read takes besides, and from a hand-over to the first
    // event
    double read_fixed_ms = 50;
    double handover_ms = 30;
    // 2000  tokens that may wait to be read at an engine that decodes, while others read
    //       only; more where the streams there bear it
    std::int64_t beside_streams = 2000;
    bool         observed = false; // read_speed comes from reads
    // 0     ms of reading that an engine has been given, on the mean, since this VM last
    //       heard of it
    double unheard_ms = 0;
    // 0     engines of a role, drawn for each call, among which it looks for an idle one
    //       besides those that keep its prompt; 0: all
    std::int64_t choices = 0;

    bool operator==(engine_costs const&) const = default;
};

struct placement_options
{
    // 2     times its time, the weight of reading a shared part that an engine keeps: the
    //       time is taken from all who wait for an engine
    double recompute_weight = 2;
    // 0.5   of the time of reading the shared parts; a call for parts that no engine
    //       keeps goes to their home while others would read them sooner by less
    double home = 0.5;
    // 300   tokens; a prompt with fewer own ones is read where it is decoded
    std::int64_t handover_least = 300;
    // 15    ms; what handing a prompt over is worth besides its time: bytes moved, and a
    //       place at a second engine
    double handoff_cost_ms = 15;
    // 1     ms; a running stream slows an engine's reading by so much
    double stream_slowdown_ms = 1;
    // 2     ms; what a way between data centres costs in time and bytes
    double remote_cost_ms = 2;
    // 1000  tokens; fewer cached ones aren't worth a transfer between engines
    std::int64_t min_fetch_tokens = 1000;
    // 10    ms to begin a transfer, and tokens a ms of its way between engines
    double fetch_setup_ms = 10;
    double fetch_speed = 500;
    // 2     times what is unheard of; the costs of engines are spread by so much, or all
    //       VMs would choose the one that was idle when they last heard of it
    double spread = 2;
    bool   fetch = true;    // cached parts may be fetched from other engines
    bool   handover = true; // prompts may be read apart while an engine can do both

    bool operator==(placement_options const&) const = default;
};

/// A server with what is in work there, of this VM and of those it has heard of.
struct candidate
{
    backend_server const* server = nullptr;
    server_load           load;
    bool                  suspect = false; // has failed lately: last choice
    std::int64_t          kept = 0;  // tokens of the call's shared parts cached there
    std::int64_t          ready = 0; // of these, read already and not still being read
};

/// Where a model call goes first.
struct placement
{
    backend_server const* server = nullptr;
    bool         prefill_only = false; // reads the prompt; another one runs the call
    std::int64_t unread = 0;  // tokens to be read there, as far as caches are known
    double       wait_ms = 0; // until those before them are read
    double       read_ms = 0; // that reading and fetching them takes
    backend_server const* fetch_from =
        nullptr; // keeps parts that are fetched; null: none
};

/// The least loaded server for a plain call, those of the own data centre first among
/// equals. `ticket` breaks ties, so that VMs don't all pick the same. Null if there is
/// none.
backend_server const* place_plain(std::vector<candidate> const& candidates,
                                  std::string const& data_centre, std::uint64_t ticket);

/// The first engine for a model call; nothing if no engine can decode.
std::optional<placement> place_model(std::vector<candidate> const& candidates,
                                     caller_call const& call, engine_costs const& costs,
                                     std::string const& data_centre, std::uint64_t ticket,
                                     placement_options const& options);

/// The engine that runs a call whose prompt another one has read. Asked only then:
/// reading can take seconds, in which engines begin to leave and loads change. Null if
/// there is none.
backend_server const* place_decode(std::vector<candidate> const& candidates,
                                   engine_costs const&           costs,
                                   std::string const& data_centre, std::uint64_t ticket,
                                   placement_options const& options);

} // namespace marigoldcrank

#endif
