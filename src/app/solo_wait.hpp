// Waits until a server that is reserved for a suspect runs nothing else.
//
// Index: 1 solo_wait_end, 2 solo_wait
#ifndef MARIGOLDCRANK_APP_SOLO_WAIT_HPP
#define MARIGOLDCRANK_APP_SOLO_WAIT_HPP

#include "app/model_parts.hpp"

#include <optional>
#include <thread>

namespace marigoldcrank
{

/// How a wait ended.
enum class solo_wait_end
{
    empty,       // the suspect may run there
    unavailable, // the server does not respond or is leaving
    interrupted, // the request stops, or a peer has precedence
};

/// Waits on one thread for one server.
template <backend_port Backend>
class solo_wait
{
public:
    solo_wait(model_parts<Backend>& parts, backend_server const& server)
        : parts_(parts), server_(server)
    {
    }

    /// A server is empty if this entry VM runs nothing on it and the server has itself
    /// reported, since the reservation, that it runs nothing at all. The server is
    /// queried directly: a crashed one stays in the directory for a while, and a wait for
    /// its next report would never end.
    template <class Stop>
    solo_wait_end run(Stop&& stop)
    {
        auto const reserved_at = boot_clock::now();
        std::this_thread::sleep_for(parts_.options.solo_settle);
        while (!stop() && !parts_.poison.contested(server_.id))
        {
            auto const load = read_load();
            auto const view = find_view();
            if (!load || !view || view->server.leaving)
            {
                return solo_wait_end::unavailable;
            }
            auto const measured_at =
                load->read_at - millis{static_cast<std::int64_t>(load->lag_ms)};
            if (measured_at >= reserved_at && load->running + load->waiting == 0 &&
                view->own_running == 0)
            {
                return solo_wait_end::empty;
            }
            std::this_thread::sleep_for(parts_.options.solo_pause);
        }
        return solo_wait_end::interrupted;
    }

private:
    std::optional<load_report> read_load()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<load_report>>
            {
                BOOST_LEAF_AUTO(load, parts_.backend.load(server_));
                return std::optional{load};
            },
            [] { return std::optional<load_report>{}; });
    }

    std::optional<server_view> find_view() const
    {
        for (auto const& view : parts_.directory.group(server_.group))
        {
            if (view.server.id == server_.id)
            {
                return view;
            }
        }
        return std::nullopt;
    }

    model_parts<Backend>& parts_;
    backend_server const& server_;
};

} // namespace marigoldcrank

#endif
