// Ends and restarts of the stand-in's process.
#include "platform/support/crashing_server.hpp"

namespace marigoldcrank::tests
{

crashing_server::crashing_server(int port, std::string name,
                                 crashing_server_options options)
    : port_(port), name_(std::move(name)), options_(std::move(options))
{
    start(0);
    supervisor_ = std::thread([this] { supervise(); });
}

crashing_server::~crashing_server()
{
    {
        std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    supervisor_.join();
}

std::vector<crashing_server::time_point> crashing_server::fatal_arrivals() const
{
    std::lock_guard lock{mutex_};
    return fatal_arrivals_;
}

void crashing_server::crash()
{
    {
        std::lock_guard lock{mutex_};
        crashing_ = true;
    }
    changed_.notify_all();
}

bool crashing_server::handle(wire_request const& request, wire_connection& connection)
{
    if (options_.crashes_on && options_.crashes_on(request))
    {
        {
            std::lock_guard lock{mutex_};
            fatal_arrivals_.push_back(std::chrono::steady_clock::now());
        }
        if (options_.begin_response)
        {
            options_.begin_response(request, connection);
        }
        std::this_thread::sleep_for(options_.crash_after);
        crash();
        return false;
    }
    if (options_.respond)
    {
        return options_.respond(request, connection);
    }
    connection.send(server_standin::signed_response(request, "served"));
    return true;
}

void crashing_server::start(int incarnation)
{
    auto const id =
        name_ + (options_.keeps_id ? std::string{} : "-" + std::to_string(incarnation));
    server_ = std::make_unique<server_standin>(port_, id);
    server_->handle_always(
        [this](wire_request const& request, wire_connection& connection)
        { return handle(request, connection); });
    options_.list(*server_);
}

void crashing_server::supervise()
{
    for (int incarnation = 1; wait_for_crash(); ++incarnation)
    {
        auto const id = server_->id();
        server_.reset();
        if (!wait(options_.down_for))
        {
            return;
        }
        start(incarnation);
        if (!options_.keeps_id)
        {
            options_.unlist(id);
        }
        std::lock_guard lock{mutex_};
        crashing_ = false;
    }
}

bool crashing_server::wait_for_crash()
{
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [this] { return crashing_ || stopping_; });
    return !stopping_;
}

bool crashing_server::wait(std::chrono::milliseconds duration)
{
    std::unique_lock lock{mutex_};
    return !changed_.wait_for(lock, duration, [this] { return stopping_; });
}

} // namespace marigoldcrank::tests
