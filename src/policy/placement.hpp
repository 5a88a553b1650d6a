// Chooses the server for a call, from the load that all known VMs put on each server.
//
// Index: 1 engine_costs, 2 placement_options, 3 candidate, 4 paced_prefill, 5 placement,
//        6 place_plain, 7 place_model, 8 place_decode
//
// Prompts have a few hundred to tens of thousands of tokens and share long parts; a
// prefill engine reads them twice as fast as a decode engine. A model call is placed by
// the predicted time until its prompt is read. The options are the engine with the
// shortest queue, one that has the shared parts cached, one that fetches them from
// another engine's cache, and a prefill engine that hands the call off to a decode
// engine.
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

/// Observed costs of prefill and of KV cache transfers at the engines of one service.
struct engine_costs
{
    // 50    tokens per ms; prefill speed of an engine without other work, until observed
    double prefill_rate = 50;
    // 25    tokens per ms; prefill speed of an engine that also decodes
    double colocated_rate = 25;
    // 50    ms; fixed time of each prefill at an engine that also decodes
    double colocated_fixed_ms = 50;
    // 50 and 30  ms; fixed time of each prefill, and from a handoff to the first event
    double prefill_fixed_ms = 50;
    double handoff_ms = 30;
    // 2000  prefill tokens that may be queued at a decode engine while there are prefill
    //       engines; pause_watch raises it where the streams tolerate more
    std::int64_t max_colocated_tokens = 2000;
    bool         observed = false; // prefill_rate is measured, not the default
    // 0     ms; mean prefill time that an engine was given since its last load digest
    double unreported_ms = 0;
    // 0     engines per role that a call samples, on average, besides those that cache
    //       its prompt; 0: it considers all
    std::int64_t sampled_engines = 0;

    bool operator==(engine_costs const&) const = default;
};

struct placement_options
{
    // 2     weight of the time to compute a shared part again, since it delays every call
    //       that waits for the engine
    double recompute_weight = 2;
    // 0.5   of the prefill time of the shared parts; if no engine caches them, the call
    //       goes to their rendezvous engine unless another is faster by more than this
    double rendezvous_margin = 0.5;
    // 300   tokens; a prompt with fewer unshared tokens is prefilled where it is decoded
    std::int64_t min_handoff_tokens = 300;
    // 15    ms; cost of a handoff besides its time: the bytes moved and the batch slot
    //       at the second engine
    double handoff_cost_ms = 15;
    // 1     ms; delay of an engine's prefill by each running stream
    double stream_slowdown_ms = 1;
    // 2     ms; cost of a hop between data centres, in time and bytes
    double remote_cost_ms = 2;
    // 1000  tokens; fewer cached ones are not worth a transfer between engines
    std::int64_t min_fetch_tokens = 1000;
    // 10 and 500  ms to set up a transfer between engines, and its speed in tokens per ms
    double fetch_setup_ms = 10;
    double fetch_speed = 500;
    // 2     times unreported_ms; range of the random part of an engine's cost. Without
    //       it, all VMs choose the engine that was idle in the last digests
    double random_range = 2;
    bool   fetch = true;         // allow fetching cached parts from other engines
    bool   allow_handoff = true; // false: hand off only if no decode engine may prefill

    bool operator==(placement_options const&) const = default;
};

/// A server with its load from this VM and from the VMs whose digests it has.
struct candidate
{
    backend_server const* server = nullptr;
    server_load           load;
    bool                  avoided = false; // avoided after failures; last choice
    bool rendezvous = false;               // of the prompt, as the index tells; if none
                                           // is, the rank among the candidates decides
    std::int64_t cached = 0; // tokens of shared parts cached or being computed
    std::int64_t ready = 0;  // of these, already computed
    double       pace = 1;   // speed relative to the mean of the service
};

/// How the time of a prefill, once it is known, counts for the pace of its engine.
struct paced_prefill
{
    double mean_ms = 0;    // predicted duration at an engine of pace 1
    double weight = 0;     // 0 to 1; part of the time that depends on known work only
    double pace = 1;       // assumed for the prediction
    bool   remote = false; // the engine is in another data centre
};

/// The first server of a model call and the predicted times there.
struct placement
{
    backend_server const* server = nullptr;
    bool                  prefill_only = false; // prefill here, decode at another engine
    std::int64_t prefill_tokens = 0; // to prefill there, as far as caches are known
    double       wait_ms = 0;        // until the prefill queued before it is done
    double       prefill_ms = 0;     // duration of its prefill and fetches
    backend_server const* fetch_from =
        nullptr;         // its cached parts are fetched; null: none
    paced_prefill paced; // for the pace sample that its prefill gives
};

/// The server for a call without a prompt: the one with the fewest running calls, this
/// one included, divided by its pace. Of servers of the same pace, one in another data
/// centre is chosen only if it has at least two fewer. If paces differ, only a few
/// servers are considered, drawn by `tie_break`, which also breaks ties: VMs must not all
/// choose the same server. Null without candidates.
backend_server const* place_plain(std::vector<candidate> const& candidates,
                                  std::string const&            data_centre,
                                  std::uint64_t                 tie_break);

/// The first engine for a model call; nothing if no engine can take it.
std::optional<placement> place_model(std::vector<candidate> const& candidates,
                                     caller_call const& call, engine_costs const& costs,
                                     std::string const&       data_centre,
                                     std::uint64_t            tie_break,
                                     placement_options const& options);

/// The decode engine for a call after another engine's prefill. It is chosen only then:
/// prefill can take seconds, in which engines begin to leave and loads change. Null if
/// there is none.
backend_server const* place_decode(std::vector<candidate> const& candidates,
                                   engine_costs const&           costs,
                                   std::string const&            data_centre,
                                   std::uint64_t                 tie_break,
                                   placement_options const&      options);

} // namespace marigoldcrank

#endif
