// What a failed exchange of cpp-httplib says about the effect of the request.
//
// Index: fault_of, transport_error
#ifndef MARIGOLDCRANK_ADAPTERS_HTTP_EXCHANGE_HPP
#define MARIGOLDCRANK_ADAPTERS_HTTP_EXCHANGE_HPP

#include "domain/failure.hpp"

#include <httplib.h>

#include <string>

namespace marigoldcrank
{

/// Only an error before the first byte was sent proves that the other side got nothing.
transport_fault fault_of(httplib::Error error) noexcept;

/// A new LEAF error with the transport_failure of `error`.
leaf::error_id transport_error(httplib::Error error, std::string peer);

} // namespace marigoldcrank

#endif
