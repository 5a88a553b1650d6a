// Bytes that a TCP connection has received.
//
// Index: received_bytes
#ifndef MARIGOLDCRANK_ADAPTERS_RECEIVED_BYTES_HPP
#define MARIGOLDCRANK_ADAPTERS_RECEIVED_BYTES_HPP

#include <cstdint>

namespace marigoldcrank
{

/// By the kernel's count; 0 if `socket` is no TCP connection.
std::int64_t received_bytes(int socket) noexcept;

} // namespace marigoldcrank

#endif
