// Maps errors of cpp-httplib to transport faults.
#include "adapters/http_exchange.hpp"

#include "policy/response_head.hpp"

#include <algorithm>

namespace marigoldcrank
{

transport_fault fault_of(httplib::Error error) noexcept
{
    switch (error)
    {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return transport_fault::not_connected;
    case httplib::Error::Read:
        return transport_fault::silent;
    default:
        return transport_fault::response_lost;
    }
}

leaf::error_id transport_error(httplib::Error error, std::string peer)
{
    return leaf::new_error(transport_failure{fault_of(error), std::move(peer), 0});
}

bool is_valid_head(httplib::Response const& response)
{
    auto const status = classify_status(static_cast<unsigned>(response.status));
    return status == status_kind::final &&
           std::all_of(response.headers.begin(), response.headers.end(),
                       [](auto const& field) { return is_field_name(field.first); });
}

} // namespace marigoldcrank
