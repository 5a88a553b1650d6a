// An HTTP client that tells how many bytes it has received.
//
// Index: counted_client
#ifndef MARIGOLDCRANK_ADAPTERS_COUNTED_CLIENT_HPP
#define MARIGOLDCRANK_ADAPTERS_COUNTED_CLIENT_HPP

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace marigoldcrank
{

/// The library reads heads, chunk extensions and trailers whole, whatever their length,
/// and tells nobody meanwhile; the kernel counts the bytes.
class counted_client : public httplib::Client
{
public:
    /// Calls `prepare` with the socket of each new connection.
    counted_client(std::string const& host, int port, std::function<void(int)> prepare);

    /// Bytes received over the newest connection. May be called while another thread uses
    /// the client.
    std::int64_t received() const noexcept;

private:
    std::atomic<int> socket_{-1};
};

} // namespace marigoldcrank

#endif
