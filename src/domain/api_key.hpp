// Keys of callers: `mgc_ID_SECRET`. Only the salted hash of the secret is ever stored,
// passed on or logged; the key itself ends at the entry VM that received it.
//
// Index: api_key, parse_api_key, make_api_key, salted_hash, key_matches
#ifndef MARIGOLDCRANK_DOMAIN_API_KEY_HPP
#define MARIGOLDCRANK_DOMAIN_API_KEY_HPP

#include "domain/failure.hpp"

#include <string>
#include <string_view>

namespace marigoldcrank
{

/// A key as a caller presents it.
struct api_key
{
    std::string id;     // public; names the rule in [keys]
    std::string secret; // never leaves the process
};

/// Splits `mgc_ID_SECRET`. Fails with message_failure.
leaf::result<api_key> parse_api_key(std::string_view text);

/// A new random key (128-bit secret from the system's generator).
api_key make_api_key(std::string const& id);

/// The form that a caller presents.
std::string format_api_key(api_key const& key);

/// A random salt, 16 bytes in hexadecimal.
std::string make_salt();

/// SHA-256 over salt and secret, in hexadecimal.
std::string salted_hash(std::string_view salt, std::string_view secret);

/// Compares in constant time, so that answers' timing tells nothing about a hash.
bool key_matches(std::string_view salt, std::string_view hash, std::string_view secret);

} // namespace marigoldcrank

#endif
