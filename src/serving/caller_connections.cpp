// Bounds of the connections of callers.
#include "serving/caller_connections.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace marigoldcrank
{

namespace
{

// 100   ms; in which the first byte of a request arrives on a new connection
constexpr millis settling_time{100};
// 1000  ms; in which a caller notices that its idle connection was ended
constexpr millis ended_time{1000};

void shut_down_sending(caller_socket& connection)
{
    boost::system::error_code ignored; // the connection may be closed already
    connection.stream().socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                                          ignored);
}

} // namespace

void caller_connections::enter(socket_pointer connection, connection_phase phase)
{
    leave(*connection);
    connection->place = {phase, ++last_number_, loop_clock::now()};
    listed_[phase].emplace(last_number_, std::move(connection));
    ++size_;
}

void caller_connections::enter_idle(socket_pointer const& connection, std::size_t most)
{
    enter(connection, connection_phase::idle);
    auto const& idle = listed_[connection_phase::idle];
    if (idle.size() > most)
    {
        end(idle.begin()->second);
    }
}

void caller_connections::leave(caller_socket const& connection)
{
    size_ -= listed_[connection.place.phase].erase(connection.place.number);
}

std::size_t caller_connections::size() const noexcept
{
    return size_;
}

std::size_t caller_connections::count(connection_phase phase) const
{
    auto const found = listed_.find(phase);
    return found == listed_.end() ? 0 : found->second.size();
}

std::optional<connection_phase> caller_connections::make_room()
{
    for (auto const phase : phases_to_close)
    {
        auto const& candidates = listed_[phase];
        if (!candidates.empty())
        {
            auto const chosen = candidates.begin()->second;
            leave(*chosen);
            chosen->stream().close();
            return phase;
        }
    }
    return std::nullopt;
}

void caller_connections::end(socket_pointer const& connection)
{
    shut_down_sending(*connection);
    enter(connection, connection_phase::ended);
}

void caller_connections::close_idle()
{
    auto const  before = loop_clock::now() - settling_time;
    auto const& idle = listed_[connection_phase::idle];
    while (!idle.empty() && idle.begin()->second->place.since < before)
    {
        end(idle.begin()->second);
    }
}

void caller_connections::close_ended()
{
    auto const  before = loop_clock::now() - ended_time;
    auto const& ended = listed_[connection_phase::ended];
    while (!ended.empty() && ended.begin()->second->place.since < before)
    {
        auto const chosen = ended.begin()->second;
        leave(*chosen);
        chosen->stream().close();
    }
}

void caller_connections::relieve(held_memory const& memory)
{
    if (memory.excess() <= 0)
    {
        return;
    }
    std::vector<socket_pointer>     callers;
    std::vector<unwritten_response> responses;
    for (auto const& [number, caller] : listed_[connection_phase::busy])
    {
        callers.push_back(caller);
        responses.push_back(caller->backlog());
    }
    for (auto const index :
         choose_for_memory(responses, memory.excess(), memory.options()))
    {
        callers[index]->end_slow(slow_rule::memory);
    }
}

} // namespace marigoldcrank
