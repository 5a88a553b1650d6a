// Parsing, generation and salted hashing (OpenSSL's SHA-256) of API keys.
#include "domain/api_key.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

namespace marigoldcrank
{

namespace
{
constexpr std::string_view prefix = "mgc_";
constexpr std::size_t      secret_bytes = 16;  // of secrets and of salts
constexpr std::size_t      max_key_size = 256; // characters

std::string hexadecimal(unsigned char const* bytes, std::size_t size)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string    result;
    result.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index)
    {
        result += digits[bytes[index] >> 4U];
        result += digits[bytes[index] & 15U];
    }
    return result;
}

std::string random_hexadecimal()
{
    std::array<unsigned char, secret_bytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return hexadecimal(bytes.data(), bytes.size());
}
} // namespace

leaf::result<api_key> parse_api_key(std::string_view text)
{
    auto const separator = text.rfind('_');
    if (text.size() > max_key_size || text.substr(0, prefix.size()) != prefix ||
        separator <= prefix.size() || separator + 1 >= text.size())
    {
        return leaf::new_error(message_failure{"key", "not of the form mgc_ID_SECRET"});
    }
    return api_key{std::string{text.substr(prefix.size(), separator - prefix.size())},
                   std::string{text.substr(separator + 1)}};
}

api_key make_api_key(std::string const& id)
{
    return {id, random_hexadecimal()};
}

std::string format_api_key(api_key const& key)
{
    return std::string{prefix} + key.id + "_" + key.secret;
}

std::string make_salt()
{
    return random_hexadecimal();
}

std::string salted_hash(std::string_view salt, std::string_view secret)
{
    std::string const input = std::string{salt} + ":" + std::string{secret};
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int                               size = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return hexadecimal(digest.data(), size);
}

bool key_matches(std::string_view salt, std::string_view hash, std::string_view secret)
{
    auto const presented = salted_hash(salt, secret);
    return presented.size() == hash.size() &&
           CRYPTO_memcmp(presented.data(), hash.data(), hash.size()) == 0;
}

} // namespace marigoldcrank
