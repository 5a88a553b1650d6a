// Sends messages of one kind to other entry VMs, and matches their replies.
//
// Index: vm_queries
#ifndef MARIGOLDCRANK_SERVING_VM_QUERIES_HPP
#define MARIGOLDCRANK_SERVING_VM_QUERIES_HPP

#include "domain/boot_clock.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
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

/// Messages are serialised by the caller. A query and its reply carry the same number in
/// their first field. Messages to a VM that doesn't read them are dropped.
class vm_queries
{
public:
    /// `kind` names the messages to the VMs that receive them.
    vm_queries(boost::asio::io_context& loop, zmq::context_t& context, std::string kind);
    ~vm_queries();
    vm_queries(vm_queries const&) = delete;
    vm_queries& operator=(vm_queries const&) = delete;

    /// The number of the next query; never 0.
    std::uint64_t next_number();

    /// Sends the query `number`. Returns the serialised reply, or nothing if there is
    /// none within the reply timeout.
    boost::asio::awaitable<std::optional<std::string>>
    query(std::string address, std::uint64_t number, std::string bytes);

    /// Sends a message without a reply.
    void send(std::string const& address, std::string const& bytes);

    /// Closes the sockets to all VMs but these.
    void follow(std::vector<std::string> const& addresses);

private:
    struct sockets;

    std::unique_ptr<sockets> sockets_;
};

} // namespace marigoldcrank

#endif
