// Maps errors of cpp-httplib to transport faults, which state whether a failed request
// may have taken effect, and checks heads that the library accepts.
//
// Index: fault_of, transport_error, is_valid_head
#ifndef MARIGOLDCRANK_ADAPTERS_HTTP_EXCHANGE_HPP
#define MARIGOLDCRANK_ADAPTERS_HTTP_EXCHANGE_HPP

#include "domain/failure.hpp"

#include <httplib.h>

#include <string>

namespace marigoldcrank
{

/// Gives `not_connected` only for an error before the first byte was sent: no other error
/// proves that the other side received nothing.
transport_fault fault_of(httplib::Error error) noexcept;

/// Creates a LEAF error that carries the transport_failure of `error` at `peer`.
leaf::error_id transport_error(httplib::Error error, std::string peer);

/// Whether the status and the names of the fields are ones of HTTP.
bool is_valid_head(httplib::Response const& response);

} // namespace marigoldcrank

#endif
