// Passes records of the store's topics between entry VMs over ZeroMQ.
//
// Index: 1 records_query, 2 keyed_state, 3 keepers_reply, 4 record_link
//
// A reply that is delayed on its way must not make old records look fresh, or a withdrawn
// key would go on working. A reply states its age at the time it was made, and the reader
// counts from the time at which it sent the query, so the round trip only makes the
// records older.
#ifndef MARIGOLDCRANK_SERVING_RECORD_LINK_HPP
#define MARIGOLDCRANK_SERVING_RECORD_LINK_HPP

#include "policy/answer_watch.hpp"
#include "policy/store_contact.hpp"
#include "ports/log_store_port.hpp"
#include "serving/topic_format.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zmq
{
class context_t;
}

namespace marigoldcrank
{

/// A query for the records of a topic from an offset on.
struct records_query
{
    std::string   topic;
    std::uint64_t from = 0;
    millis        wait{0};     // longest wait for a record with a change
    millis max_age{2500};      // 2500 ms; older replies aren't accepted. Two intervals of
                               //      900 ms between reads of usage are usual, one of
                               //      them at the VM that reads for the fleet
    bool accept_older = false; // accept up to 2500 ms if no relay has newer records
    bool state = false;        // the newest record of each key instead of the changes
    boot_clock::time_point known_as_of{}; // of what the asker knows
    millis newer{0}; // also wanted without a change if so much newer; 0: only with one
};

/// The newest record of each key of a topic, as relays hold it.
struct keyed_state
{
    log_chunk records; // `next()` is the offset from which changes follow
    millis    age{0};  // ms; as of log_chunk
};

/// What VMs that were asked for newer records replied.
struct keepers_reply
{
    vms_answer               answer = vms_answer::no_vms;
    std::optional<log_chunk> chunk; // if they have newer records
};

/// Replies to other VMs with the records that this VM has read, and queries other VMs for
/// theirs.
class record_link
{
public:
    using format_source = std::function<topic_format(std::string const& topic)>;

    /// `bind_address`: "IP:PORT". Throws zmq::error_t if the address can't be bound.
    record_link(boost::asio::io_context& loop, zmq::context_t& context,
                std::string const& bind_address, format_source format_of);
    ~record_link();
    record_link(record_link const&) = delete;
    record_link& operator=(record_link const&) = delete;

    /// Sets the relays to query, in this order. Without any, the store is read.
    void follow(std::vector<std::string> const& relays);

    /// Sets the VMs that hold records and can be asked besides the relays.
    void set_keepers(std::vector<std::string> const& vms);

    /// The reply of the first of these VMs that has the records, fresh enough, without a
    /// wait for changes; else what a few of them say of the store.
    boost::asio::awaitable<keepers_reply> ask_keepers(records_query query);

    /// Sets what replies tell of this VM's own reads of `topic` at the store. It must
    /// outlive the link.
    void testify(std::string const& topic, answer_watch const& answers);

    /// Sets whether other VMs query this one. If not, records from relays aren't kept for
    /// them.
    void serve(bool queried);

    /// Sets what tells whether the VM at an address has been heard of lately. Relays that
    /// haven't are queried last.
    using liveness = std::function<bool(std::string const& address)>;
    void watch(liveness is_live);

    /// Handles the queries of a further kind, which arrive at the same address. An empty
    /// reply isn't sent.
    using other_query_handler = std::function<std::string(std::string const& query)>;
    void reply_to_others(std::string const& kind, other_query_handler answer);

    /// Whether there are relays, silent or not.
    bool has_relays() const;

    /// True while at least one relay isn't avoided.
    bool relayed() const;

    /// True while at least one relay replies with records, even with old ones.
    bool replied() const;

    /// Records whether a read of `topic` at the store has failed so that the store may be
    /// away. Replies tell it, since old records alone don't: a relay may have been away
    /// itself.
    void note_store(std::string const& topic, bool lost);

    /// Whether the store was away at the last read of `topic` that is known of, by this
    /// VM or the relay that replied last.
    bool store_lost(std::string const& topic) const;

    /// Whether a relay has said so, so that the store is lost for more VMs than this one.
    bool relays_lost_store(std::string const& topic) const;

    /// The reply of the first relay that isn't avoided and has the records, fresh enough.
    /// Nothing if the store is to be read, also after a silent relay if the next one
    /// isn't live, since waiting for several would let the records get old.
    boost::asio::awaitable<std::optional<log_chunk>> fetch(records_query query);

    /// The state of a keyed topic, part by part; nothing if no relay has it whole.
    boost::asio::awaitable<std::optional<keyed_state>> fetch_state(std::string topic);

    /// Whether this VM holds the state of a topic for the VMs that query it.
    bool holds_state(std::string const& topic) const;

    /// Stores a listing of the newest record of each key that this VM has read.
    void replace(std::string const& topic, log_chunk const& listing,
                 boot_clock::time_point as_of);

    /// Stores a chunk that this VM has read, which has all records up to the time
    /// `as_of`.
    void merge(std::string const& topic, log_chunk const& chunk,
               boot_clock::time_point as_of);

    /// Replies to queries that have waited long enough, and follows which relays are
    /// live; called a few times a second.
    void tick();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace marigoldcrank

#endif
