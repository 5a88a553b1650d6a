// HTTP client of the platform: log and VM list. order_socket sends orders and reports.
//
// Index: http_platform
#ifndef MARIGOLDCRANK_ADAPTERS_HTTP_PLATFORM_HPP
#define MARIGOLDCRANK_ADAPTERS_HTTP_PLATFORM_HPP

#include "adapters/http_client_pool.hpp"
#include "ports/platform_port.hpp"

#include <atomic>
#include <string>

namespace httplib
{
class Result;
}

namespace marigoldcrank
{

/// Models platform_log_port and vm_list_port. Safe to use from several threads.
class http_platform
{
public:
    /// `sender` names this process to the platform, which records it with every request.
    http_platform(std::string host, int port, millis timeout, std::string sender);

    leaf::result<std::uint64_t>               append(std::string const& text);
    leaf::result<log_page>                    read(std::uint64_t from, millis wait);
    leaf::result<std::vector<backend_server>> backend_servers();

    /// Bytes sent and received, estimated from paths, bodies and headers, for the budget
    /// of control traffic.
    std::uint64_t bytes() const noexcept;

private:
    void count_bytes(std::string const& path, std::string const& body,
                     httplib::Result const& response);

    std::atomic<std::uint64_t> bytes_{0};
    std::string                host_;
    int                        port_;
    std::string                sender_;
    http_client_pool           clients_;
    http_client_pool           log_clients_; // long polls, with a longer timeout
};

static_assert(platform_log_port<http_platform>);
static_assert(vm_list_port<http_platform>);

} // namespace marigoldcrank

#endif
