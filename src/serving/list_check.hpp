// Checks, when a request is written, that its server hasn't left.
//
// Index: 1 list_confirmation, 2 may_write_to
#ifndef MARIGOLDCRANK_SERVING_LIST_CHECK_HPP
#define MARIGOLDCRANK_SERVING_LIST_CHECK_HPP

#include "policy/retry_gate.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace marigoldcrank
{

class entry_state;

/// Reads of the store for sends that find the list of servers too old. All sends of a VM
/// share one.
struct list_confirmation
{
    // Reads the changes of the list at the store; false if that failed. Empty: no store.
    std::function<boost::asio::awaitable<bool>()> read;
    // Of the running read: ends when it does, or when sends no longer wait for it.
    std::shared_ptr<boost::asio::steady_timer> done;
    bool                                       running = false;
    bool                                       failed = false; // the latest one
    retry_gate                                 gate;
};

/// Whether a request may be written to `server` now: it is listed, isn't leaving, and the
/// list isn't too old. If it is, waits until the store has been read. If the store can't
/// be read, the list counts as it is.
boost::asio::awaitable<bool> may_write_to(entry_state& state, std::string server);

} // namespace marigoldcrank

#endif
