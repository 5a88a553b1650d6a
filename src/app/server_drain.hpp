// Tells whether a draining backend server has completed its work.
//
// Index: server_drain
#ifndef MARIGOLDCRANK_APP_SERVER_DRAIN_HPP
#define MARIGOLDCRANK_APP_SERVER_DRAIN_HPP

#include "ports/backend_port.hpp"

namespace marigoldcrank
{

/// Uses the server's own load report, because other entry VMs have streams on it too.
template <backend_port Backend>
class server_drain
{
public:
    /// `notice` is the time within which all entry VMs read of the drain.
    server_drain(Backend& backend, millis notice) : backend_(backend), notice_(notice) {}

    /// True if a load report made after the notice shows no running or waiting work.
    /// Reports lag and state their age: one from before the end of the notice could miss
    /// a stream that began since.
    bool idle(backend_server const& server, boot_clock::time_point drain_began)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                auto const asked = boot_clock::now();
                BOOST_LEAF_AUTO(load, backend_.load(server));
                auto const made = asked - millis{load.lag_ms};
                return made >= drain_began + notice_ && load.running == 0 &&
                       load.waiting == 0;
            },
            [] { return false; });
    }

private:
    Backend& backend_;
    millis   notice_;
};

} // namespace marigoldcrank

#endif
