// Listens, and accepts connections in a loop.
#include "serving/listener.hpp"

#include "serving/loop_sleep.hpp"

namespace marigoldcrank
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

// 1024  connections; a full queue drops SYN packets, which are sent again after 1 s
constexpr int backlog = 1024;
// 100   ms; pause after a failed accept, as when no file descriptors are free
constexpr millis accept_retry_pause{100};

asio::awaitable<void> accept_all(tcp::acceptor acceptor, failure_sink sink,
                                 std::function<void(tcp::socket)> handler)
{
    while (true)
    {
        boost::system::error_code error;
        auto                      socket = co_await acceptor.async_accept(
                                 asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            co_await loop_sleep(accept_retry_pause);
            continue;
        }
        try
        {
            handler(std::move(socket));
        }
        catch (...)
        {
            sink("accept", describe_failure(std::current_exception()));
        }
    }
}

} // namespace

void listen_on(asio::io_context& loop, socket_address const& address,
               failure_sink const& sink, std::function<void(tcp::socket)> handler)
{
    tcp::endpoint const endpoint{asio::ip::make_address(address.host), address.port};
    tcp::acceptor       acceptor{loop};
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(backlog);
    spawn_task(loop, "listener", sink,
               accept_all(std::move(acceptor), sink, std::move(handler)));
}

} // namespace marigoldcrank
