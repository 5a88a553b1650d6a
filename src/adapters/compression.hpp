// Compresses large records on their way between VMs.
//
// Index: 1 compress, 2 expand
#ifndef MARIGOLDCRANK_ADAPTERS_COMPRESSION_HPP
#define MARIGOLDCRANK_ADAPTERS_COMPRESSION_HPP

#include <cstddef>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// `text` in zlib format, at the lowest effort: a VM has a fraction of a core.
std::string compress(std::string const& text);

/// The text that `bytes` were made from; nothing if they are malformed, or if the text
/// isn't of `size` bytes or larger than 64 MiB.
std::optional<std::string> expand(std::string const& bytes, std::size_t size);

} // namespace marigoldcrank

#endif
