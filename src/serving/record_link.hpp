// Records of the store's topics, passed between entry VMs over ZeroMQ.
//
// Index: 1 records_query, 2 record_link
//
// Failure guarded against: an answer that was held up on its way makes old knowledge look
// fresh, and a withdrawn key goes on working. An answer states its age when it was made,
// and its reader counts from the moment at which it asked, so the way there and back only
// makes it older.
#ifndef MARIGOLDCRANK_SERVING_RECORD_LINK_HPP
#define MARIGOLDCRANK_SERVING_RECORD_LINK_HPP

#include "ports/log_store_port.hpp"
#include "serving/topic_mirror.hpp"

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

/// Asks for the records of a topic from an offset on.
struct records_query
{
    std::string   topic;
    std::uint64_t from = 0;
    millis        wait{0};     // longest time for a record that tells something
    millis max_age{2500};      // 2500 ms; an older answer isn't taken. Two pauses of 900
                               //      ms between reads of usage are usual, one at the
                               //      fleet's reader
    bool accept_older = false; // an older one, up to 2500 ms, is if nobody knows better
};

/// Answers what this VM has read from the store, and asks other VMs for theirs.
class record_link
{
public:
    /// `own`: "IP:PORT"; `news_of` makes the judge of a topic's records. Throws
    /// zmq::error_t if the address can't be bound.
    record_link(
        boost::asio::io_context& loop, zmq::context_t& context,
        std::string const&                                             bind_address,
        std::function<topic_mirror::change_filter(std::string const&)> make_filter);
    ~record_link();
    record_link(record_link const&) = delete;
    record_link& operator=(record_link const&) = delete;

    /// VMs to be asked, in this order; none: the store is read.
    void follow(std::vector<std::string> const& relays);

    /// Whether other VMs ask this one. If not, answers of relays aren't kept for them.
    void serve(bool asked);

    /// Answers questions of another kind that come to the same address; an empty answer
    /// isn't sent.
    using other_answers = std::function<std::string(std::string const& question)>;
    void answer_others(other_answers answer);

    /// Whether other VMs are there to be asked, be they silent or not.
    bool has_relays() const;

    /// True while other VMs are asked.
    bool relayed() const;

    /// Whether the relay asked last has answered, and has itself lost the store: it is
    /// away for more VMs than this one. False if the relay is silent.
    bool relays_lost_store() const;

    /// The answer of the first relay that isn't left alone and holds the records, fresh
    /// enough; nothing if the store is to be read, also after one relay has been silent:
    /// waiting for several would let knowledge get old.
    boost::asio::awaitable<std::optional<log_chunk>> fetch(records_query query);

    /// This VM has read a chunk, which holds all records up to the time `as_of`.
    void merge(std::string const& topic, log_chunk const& chunk,
               boot_clock::time_point as_of);

    /// Answers those who have waited long enough; called a few times a second.
    void tick();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace marigoldcrank

#endif
