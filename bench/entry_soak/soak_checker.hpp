// Checks of the entry soak: compares what servers and callers see, and lists violations.
//
// Index: 1 call_class, 2 call_origin, 3 soak_checker
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_CHECKER_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_CHECKER_HPP

#include "platform/support/raw_caller.hpp"
#include "platform/support/wire_server.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank::soak
{

using soak_clock = std::chrono::steady_clock;

/// Properties of a call that follow from its path.
struct call_class
{
    char const* path = "";
    bool        repeatable = false;
    bool        streamed = false;
};

/// The classes of all calls that callers send.
std::vector<call_class> const& call_classes();

/// Where and when a call was sent.
struct call_origin
{
    int                    daemon = 0;
    soak_clock::time_point sent{};
};

/// Thread-safe. A call is checked whenever its server or its caller reports something.
class soak_checker
{
public:
    /// A server begins to run a request.
    void on_run(tests::wire_request const& request);

    /// A caller is about to send a call with this key to a daemon.
    void on_sent(std::string const& id, call_class const& kind, std::string const& key,
                 int daemon);

    /// Nothing if no caller has sent the call.
    std::optional<call_origin> origin(std::string const& id) const;

    /// A caller has received a response, or none (status 0).
    void on_response(std::string const& id, tests::raw_response const& response);

    /// A caller took the interrupted stream `id` up with a call of its own.
    void on_resumed(std::string const& id, tests::raw_response const& interrupted,
                    tests::raw_response const& resumed);

    /// Streams that were taken up, and those of them that went on to their end.
    std::pair<int, int> resumptions() const;

    /// A call was interrupted in the middle of its response although only planned work,
    /// such as a stop of the daemon, was in progress.
    void on_planned_interruption(std::string const& id);

    /// A key is withdrawn now; calls with it must not run once `grace` has passed.
    void on_key_withdrawn(std::string const& key, std::chrono::milliseconds grace);

    /// A withdrawn key is valid again.
    void on_key_granted(std::string const& key);

    /// Adds a violation that was found elsewhere.
    void add_violation(std::string const& what);

    /// Each fencing token must have one holder, and each usage window one set of counts.
    void check_reports(std::vector<std::pair<std::uint64_t, std::string>> const& senders,
                       std::vector<std::pair<std::int64_t, std::string>> const&  windows);

    std::vector<std::string> violations() const;

    /// Calls sent and calls answered with success since the last call of this function.
    std::pair<int, int> take_counts();

    std::map<int, int> statuses() const;

private:
    struct call_record
    {
        call_class  kind;
        std::string key;
        call_origin origin;
        int         runs = 0;
        bool        copied = false;  // a run was asked for a copy
        bool        refused = false; // as not run: 429 or 503
    };

    void check(std::string const& id, call_record const& call);

    mutable std::mutex                            mutex_;
    std::map<std::string, call_record>            calls_;
    std::map<std::string, soak_clock::time_point> withdrawn_keys_; // rejected since
    std::map<int, int>                            statuses_;
    std::vector<std::string>                      violations_;
    int                                           sent_ = 0;
    int                                           served_ = 0;
    int                                           taken_up_ = 0;
    int                                           went_on_ = 0;
};

} // namespace marigoldcrank::soak

#endif
