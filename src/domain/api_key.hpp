// API keys of callers, written `mgc_ID_SECRET`: parsing, generation and salted hashing.
//
// Index: api_key, parse_api_key, make_api_key, salted_hash, key_matches
//
// Only the salted hash of a secret is stored, passed on or logged. The key itself never
// leaves the entry VM that received it.
#ifndef MARIGOLDCRANK_DOMAIN_API_KEY_HPP
#define MARIGOLDCRANK_DOMAIN_API_KEY_HPP

#include "domain/failure.hpp"

#include <string>
#include <string_view>

namespace marigoldcrank
{

/// A key as a caller presents it; made by parse_api_key or make_api_key.
struct api_key
{
    std::string id;     // public; id of the key's rule in [keys]
    std::string secret; // hexadecimal if generated; never leaves the process
};

/// Splits `mgc_ID_SECRET` at its last underscore. Fails with message_failure if the text
/// has another form or is longer than 256 characters.
leaf::result<api_key> parse_api_key(std::string_view text);

/// Generates a key with a random 128-bit secret from OpenSSL's generator.
api_key make_api_key(std::string const& id);

/// Returns the key as `mgc_ID_SECRET`.
std::string format_api_key(api_key const& key);

/// Generates a random salt: 16 bytes, written in hexadecimal.
std::string make_salt();

/// Returns the SHA-256 of `salt:secret` in hexadecimal.
std::string salted_hash(std::string_view salt, std::string_view secret);

/// Whether `secret` has the salted hash `hash`. The comparison takes constant time, so
/// that response times reveal nothing about the hash.
bool key_matches(std::string_view salt, std::string_view hash, std::string_view secret);

} // namespace marigoldcrank

#endif
