// Sockets of the crowd, and the checks.
#include "unruly/client_crowd.hpp"

#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <thread>

namespace marigoldcrank::tests
{

// 2. client_crowd

client_crowd::client_crowd(int port, std::size_t count) : port_(port), clients_(count)
{
    come_back();
}

client_crowd::~client_crowd()
{
    for (auto const& each : clients_)
    {
        ::close(each.socket);
    }
}

int client_crowd::connect() const
{
    int const   socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port_));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool const begun =
        ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 ||
        errno == EINPROGRESS;
    if (!begun)
    {
        ::close(socket);
    }
    return begun ? socket : -1;
}

void client_crowd::come_back()
{
    for (auto& each : clients_)
    {
        if (each.socket < 0)
        {
            each = {connect(), 0};
        }
    }
}

bool client_crowd::send_some(client& from, std::string const& begin,
                             std::string const& more)
{
    bool const  begins = from.sent < begin.size();
    auto const& text = begins ? begin : more;
    auto const  at = begins ? from.sent : (from.sent - begin.size()) % more.size();
    auto const  count = ::send(from.socket, text.data() + at, text.size() - at,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0)
    {
        from.sent += static_cast<std::size_t>(count);
    }
    else if (errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
    {
        ::close(std::exchange(from.socket, -1));
    }
    return count > 0;
}

bool client_crowd::read_some(client& from) const
{
    std::array<char, 16384> bytes;
    auto const count = ::recv(from.socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bool const reset = count < 0 && errno != EAGAIN && errno != ENOTCONN;
    if (reset)
    {
        ::close(std::exchange(from.socket, -1));
    }
    return count > 0;
}

void client_crowd::press(std::string const& begin, std::string const& more,
                         std::size_t bytes)
{
    using clock = std::chrono::steady_clock;
    constexpr std::chrono::seconds      longest_silence{1};
    constexpr std::chrono::seconds      longest_press{20};
    constexpr std::chrono::milliseconds pause{1};
    auto const                          began = clock::now();
    auto                                last_progress = began;
    bool                                goes_on = true;
    while (goes_on && clock::now() - last_progress < longest_silence &&
           clock::now() - began < longest_press)
    {
        goes_on = false;
        bool progress = false;
        for (auto& each : clients_)
        {
            bool const sends = each.socket >= 0 && each.sent < begin.size() + bytes;
            progress = (sends && send_some(each, begin, more)) || progress;
            progress = (reads_ && each.socket >= 0 && read_some(each)) || progress;
            goes_on = goes_on || (each.socket >= 0 && (reads_ || sends));
        }
        last_progress = progress ? clock::now() : last_progress;
        if (!progress)
        {
            std::this_thread::sleep_for(pause);
        }
    }
}

void client_crowd::send(std::string const& bytes)
{
    for (auto const& each : clients_)
    {
        if (each.socket >= 0)
        {
            static_cast<void>(::send(each.socket, bytes.data(), bytes.size(),
                                     MSG_NOSIGNAL | MSG_DONTWAIT));
        }
    }
}

void client_crowd::shut_down()
{
    for (auto const& each : clients_)
    {
        ::shutdown(each.socket, SHUT_WR);
    }
}

void client_crowd::reset()
{
    linger const at_once{1, 0};
    for (auto& each : clients_)
    {
        if (each.socket >= 0)
        {
            ::setsockopt(each.socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            ::close(std::exchange(each.socket, -1));
        }
    }
}

std::size_t client_crowd::open()
{
    for (auto& each : clients_)
    {
        while (each.socket >= 0 && read_some(each))
        {
        }
    }
    return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(),
                                                  [](client const& each)
                                                  { return each.socket >= 0; }));
}

void client_crowd::stop_reading()
{
    reads_ = false;
}

// 3. unruly_cluster

unruly_cluster::unruly_cluster(std::string const& policy, int header_bytes, int servers)
    : metrics_port_(ports_.next()),
      cluster_({.servers = servers,
                .policy = policy,
                .node = "memory = " + std::to_string(bounds.memory) +
                        "\ndescriptors = " + std::to_string(bounds.descriptors) +
                        "\nmetrics = 127.0.0.1:" + std::to_string(metrics_port_) + "\n",
                .change_rules = [=](nlohmann::json& rules)
                {
                    rules["limits"]["max_header_bytes"] = header_bytes;
                }})
{
}

entry_cluster& unruly_cluster::cluster()
{
    return cluster_;
}

int unruly_cluster::port(std::string const& name) const
{
    return name == "metrics" ? metrics_port_ : cluster_.port(name);
}

void unruly_cluster::check()
{
    EXPECT_TRUE(cluster_.daemon().running()) << cluster_.output();
    EXPECT_LE(read_figures(cluster_.daemon().pid()).descriptors, bounds.descriptors);
}

void unruly_cluster::check_afterwards()
{
    constexpr std::int64_t bytes_per_mb = 1'000'000;
    check();
    EXPECT_TRUE(eventually(
        [&] { return ask(cluster_.caller_port(), {.id = "ordinary"}).status == 200; }));
    EXPECT_TRUE(eventually([&] { return cluster_.ready(); }));
    EXPECT_LE(read_figures(cluster_.daemon().pid()).peak_memory,
              bounds.memory * bytes_per_mb);
}

} // namespace marigoldcrank::tests
