// Compression by zlib.
#include "adapters/compression.hpp"

#include <zlib.h>

namespace marigoldcrank
{

namespace
{

// 64    MiB; no record is larger, whatever size a message states
constexpr std::size_t max_size = std::size_t{64} << 20U;

} // namespace

std::string compress(std::string const& text)
{
    auto        size = compressBound(static_cast<uLong>(text.size()));
    std::string result(size, '\0');
    // Fails only for want of memory or room, and there is room for any text.
    static_cast<void>(compress2(reinterpret_cast<Bytef*>(result.data()), &size,
                                reinterpret_cast<Bytef const*>(text.data()),
                                static_cast<uLong>(text.size()), Z_BEST_SPEED));
    result.resize(size);
    return result;
}

std::optional<std::string> expand(std::string const& bytes, std::size_t size)
{
    if (size > max_size)
    {
        return std::nullopt;
    }
    std::string result(size, '\0');
    auto        written = static_cast<uLongf>(size);
    auto const  status = uncompress(reinterpret_cast<Bytef*>(result.data()), &written,
                                    reinterpret_cast<Bytef const*>(bytes.data()),
                                    static_cast<uLong>(bytes.size()));
    bool const  whole = status == Z_OK && written == size;
    return whole ? std::optional{std::move(result)} : std::nullopt;
}

} // namespace marigoldcrank
