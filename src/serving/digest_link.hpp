// Load digests between entry VMs over ZeroMQ, on the event loop.
//
// Index: 1 digest_notes, 2 digest_link
#ifndef MARIGOLDCRANK_SERVING_DIGEST_LINK_HPP
#define MARIGOLDCRANK_SERVING_DIGEST_LINK_HPP

#include "ledger/usage_windows.hpp"
#include "policy/crash_watch.hpp"
#include "policy/load_relay.hpp"
#include "policy/prefix_directory.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace zmq
{
class context_t;
}

namespace marigoldcrank
{

/// What a digest tells besides work: nothing of it is summed up by relays.
struct digest_extras
{
    std::vector<crash_news>       crashes;
    std::vector<usage_record>     usage; // of the sender
    std::vector<prefix_news>      prefixes;
    std::map<std::string, millis> avoided; // servers to be left alone, and for how long
    std::string                   records; // where the sender answers other VMs
    std::vector<std::string>      heard;   // such VMs that the sender has heard lately
};

/// Publishes to whoever subscribes and subscribes to the peers it is told of. Digests are
/// dropped rather than queued for a peer that doesn't take them: only the newest counts.
class digest_link
{
public:
    /// Called on the loop for each digest.
    using handler = std::function<void(load_digest digest, digest_extras const& extras)>;

    /// `own`: "IP:PORT". Throws zmq::error_t if the address can't be bound.
    digest_link(boost::asio::io_context& loop, zmq::context_t& context,
                std::string const& bind_address, handler on_digest);
    ~digest_link();
    digest_link(digest_link const&) = delete;
    digest_link& operator=(digest_link const&) = delete;

    /// Hears digests of these scopes from these peers, and from nobody else.
    void follow(std::set<std::string> const& peers, std::set<digest_scope> const& scopes);

    void publish(load_digest const& digest, digest_extras const& extras);

    /// Takes in what has arrived; also called now and then by the owner, since the
    /// socket's descriptor tells of changes only.
    void drain();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace marigoldcrank

#endif
