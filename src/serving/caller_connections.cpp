// Bounds of the connections of callers.
#include "serving/caller_connections.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace marigoldcrank
{

namespace
{

void shut_down_sending(caller_socket& connection)
{
    boost::system::error_code ignored; // the connection may be closed already
    connection.stream().socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                                          ignored);
}

} // namespace

void caller_connections::add_idle(std::shared_ptr<caller_socket> const& connection,
                                  std::size_t                           most)
{
    connection->idle_since = loop_clock::now();
    idle.insert(connection);
    if (idle.size() > most)
    {
        auto const oldest =
            std::min_element(idle.begin(), idle.end(),
                             [](auto const& one, auto const& other)
                             { return one->idle_since < other->idle_since; });
        shut_down_sending(**oldest);
        idle.erase(oldest);
    }
}

void caller_connections::close_idle()
{
    for (auto const& connection : std::exchange(idle, {}))
    {
        shut_down_sending(*connection);
    }
}

void caller_connections::relieve(held_memory const& memory)
{
    if (memory.excess() <= 0)
    {
        return;
    }
    std::vector<std::shared_ptr<caller_socket>> const callers{busy.begin(), busy.end()};
    std::vector<unwritten_response>                   responses;
    responses.reserve(callers.size());
    for (auto const& caller : callers)
    {
        responses.push_back(caller->backlog());
    }
    for (auto const index :
         choose_for_memory(responses, memory.excess(), memory.options()))
    {
        callers[index]->end_slow(slow_rule::memory);
    }
}

} // namespace marigoldcrank
