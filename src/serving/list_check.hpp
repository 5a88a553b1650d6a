// Checks, when a request is written, that its server hasn't left.
//
// Index: 1 list_confirmation, 2 may_write_to, 3 list_is_as_of
//
// A list is confirmed at the store, and at other VMs if the store doesn't answer soon: it
// may answer them, or may have answered them later than this VM.
#ifndef MARIGOLDCRANK_SERVING_LIST_CHECK_HPP
#define MARIGOLDCRANK_SERVING_LIST_CHECK_HPP

#include "domain/boot_clock.hpp"
#include "policy/retry_gate.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace marigoldcrank
{

class entry_state;

/// Confirmations for sends that find the list of servers too old. All sends of a VM share
/// one.
struct list_confirmation
{
    using reader = std::function<boost::asio::awaitable<bool>()>;

    reader read; // the changes at the store; false if that failed. Empty: no store
    reader ask;  // other VMs for changes; false if none has newer ones. Empty: no VMs
    // Of the sends that wait: ends with the first answer, or when they no longer wait.
    std::shared_ptr<boost::asio::steady_timer> done;
    bool       running = false; // sends may wait for an answer
    bool       reading = false; // at the store; may outlast `running`
    bool       asking = false;  // other VMs; may outlast `running`
    bool       failed = false;  // the latest one
    retry_gate gate;            // of reads at the store
    retry_gate ask_gate{{.initial_pause = millis{200}, .max_pause = millis{400}}};
};

/// Whether a request may be written to `server` now: it is listed, isn't leaving, and the
/// list isn't too old. If it is, waits until it has been confirmed. If it can't be, the
/// list counts as it is.
boost::asio::awaitable<bool> may_write_to(entry_state& state, std::string server);

/// Whether the list has all changes made up to `since`, by the store, after it has been
/// read there if need be. False if the store can't be read in time.
boost::asio::awaitable<bool> list_is_as_of(entry_state&           state,
                                           boot_clock::time_point since);

} // namespace marigoldcrank

#endif
