// Checks, when a request is written, that its server hasn't left.
//
// Index: 1 list_confirmation, 2 write_verdict, 3 may_write_to, 4 confirm_old_list,
//        5 list_is_as_of
//
// A list is confirmed at the store, and at other VMs if the store doesn't answer soon: it
// may answer them, or may have answered them later than this VM.
#ifndef MARIGOLDCRANK_SERVING_LIST_CHECK_HPP
#define MARIGOLDCRANK_SERVING_LIST_CHECK_HPP

#include "domain/boot_clock.hpp"
#include "policy/answer_watch.hpp"
#include "policy/retry_gate.hpp"
#include "policy/store_contact.hpp"

#include <boost/asio/any_io_executor.hpp>
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
    using asker = std::function<boost::asio::awaitable<vms_answer>()>;

    reader read; // the changes at the store; false if that failed. Empty: no store
    asker  ask;  // other VMs for changes. Empty: there are none
    // Of the sends that wait: ends with the first answer, or when they no longer wait.
    std::shared_ptr<boost::asio::steady_timer> done;
    bool          running = false; // sends may wait for an answer
    bool          reading = false; // at the store; may outlast `running`
    bool          asking = false;  // other VMs; may outlast `running`
    answer_watch  answers;         // of this VM's reads of the list at the store
    store_contact contact;         // what other VMs say of the store
    retry_gate    gate;            // of reads at the store while it is away
    retry_gate    ask_gate{{.initial_pause = millis{200}, .max_pause = millis{400}}};
};

/// Fault of a request that wasn't written since its server may have left.
inline constexpr char const* fault_unconfirmed = "list_unconfirmed";

enum class write_verdict
{
    write,
    left,       // the server is leaving or no longer listed
    unconfirmed // it may have left, and newer records can't be had in time
};

/// Whether a request may be written to `server` now. If the list is too old, waits until
/// it has been confirmed. By an old list nothing is written unless the store is known to
/// be away.
boost::asio::awaitable<write_verdict> may_write_to(entry_state& state,
                                                   std::string  server);

/// Tells the list if the store is known to be away. Begins to confirm a list that is too
/// old, and to ask other VMs once the store doesn't answer this one, so that a VM without
/// calls learns of an outage too.
void confirm_old_list(entry_state& state, boost::asio::any_io_executor const& executor);

/// Whether the list has all changes made up to `since`, by the store, after it has been
/// read there if need be. False if the store can't be read in time.
boost::asio::awaitable<bool> list_is_as_of(entry_state&           state,
                                           boot_clock::time_point since);

} // namespace marigoldcrank

#endif
