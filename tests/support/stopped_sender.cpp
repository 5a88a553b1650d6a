// A lease holder that stops itself with SIGSTOP between the check of its lease and the
// send of an order, through the daemon's order socket. Arguments: port, lease in ms,
// order id, fencing number, padding of the body in bytes (optional). Exits with 0 if the
// order was answered, 3 if nothing was sent, else 4.
#include "adapters/order_socket.hpp"

#include <csignal>
#include <cstdlib>

int main(int count, char** arguments)
{
    using namespace marigoldcrank;
    constexpr int      nothing_sent = 3;
    constexpr int      outcome_unknown = 4;
    auto const         end = boot_clock::now() + millis{std::atoi(arguments[2])};
    auto const         id = std::string{arguments[3]};
    auto const         fence = std::strtoull(arguments[4], nullptr, 10);
    auto const         padding = count > 5 ? std::strtoull(arguments[5], nullptr, 10) : 0;
    order_socket const socket(
        millis{5000}, "stopped-" + std::to_string(fence), [] { raise(SIGSTOP); },
        order_socket::max_segment_bytes + padding);
    order_message const message{
        "127.0.0.1",
        std::atoi(arguments[1]),
        "/orders",
        "{\"id\":\"" + id + "\",\"fence\":" + std::to_string(fence) +
            ",\"kind\":\"role\",\"value\":\"prefill\",\"padding\":\"" +
            std::string(padding, 'x') + "\"}",
        id,
        fence};
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_CHECK(socket.send(message, end));
            return 0;
        },
        [](transport_failure const& failure)
        {
            return failure.fault == transport_fault::not_connected ? nothing_sent
                                                                   : outcome_unknown;
        },
        [] { return outcome_unknown; });
}
