// What servers and callers have seen during a soak, and which promises that breaks.
//
// Index: 1 call_class, 2 soak_ledger
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_LEDGER_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_LEDGER_HPP

#include "platform/support/raw_caller.hpp"
#include "platform/support/wire_server.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank::soak
{

using soak_clock = std::chrono::steady_clock;

/// What may be done with a call, by its path.
struct call_class
{
    char const* path = "";
    bool        repeatable = false;
    bool        streamed = false;
};

/// All paths that callers ask for.
std::vector<call_class> const& call_classes();

/// Thread-safe. Promises are checked as soon as both sides are known.
class soak_ledger
{
public:
    /// A server begins to run a request.
    void ran(tests::wire_request const& request);

    /// A caller has sent a call, with this key.
    void asked(std::string const& id, call_class const& kind, std::string const& key);

    /// A caller has got an answer, or none (status 0).
    void answered(std::string const& id, tests::raw_response const& answer);

    /// A daemon that was asked to stop has ended a call it had read without an answer,
    /// while nothing but planned work was in progress.
    void cut_by_planned_work(std::string const& id);

    /// A key is withdrawn now; it must not work any more this much later.
    void withdrawn(std::string const& key, std::chrono::milliseconds grace);

    /// A key is in force again.
    void granted(std::string const& key);

    /// Any other broken promise.
    void broken(std::string const& what);

    /// Promises about reports of usage.
    void check_reports(std::vector<std::pair<std::uint64_t, std::string>> const& senders,
                       std::vector<std::pair<std::int64_t, std::string>> const&  windows);

    std::vector<std::string> violations() const;

    /// Calls asked, and those answered with success since the last time.
    std::pair<int, int> take_share();

    std::map<int, int> statuses() const;

private:
    struct call_record
    {
        call_class  kind;
        std::string key;
        int         runs = 0;
        bool        refused = false; // as not run
    };

    void check(std::string const& id, call_record const& call);

    mutable std::mutex                            mutex_;
    std::map<std::string, call_record>            calls_;
    std::map<std::string, soak_clock::time_point> dead_keys_; // from when on
    std::map<int, int>                            statuses_;
    std::vector<std::string>                      violations_;
    int                                           asked_ = 0;
    int                                           served_ = 0;
};

} // namespace marigoldcrank::soak

#endif
