// A parsed caller request, and the authentication of its API key.
//
// Index: 1 admission, 2 key_state, 3 model_request, 4 service_request, 5 admit
#ifndef MARIGOLDCRANK_APP_CALLER_REQUEST_HPP
#define MARIGOLDCRANK_APP_CALLER_REQUEST_HPP

#include "app/ledger_store.hpp"
#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"
#include "domain/span.hpp"

#include <memory>
#include <string>

namespace marigoldcrank
{

/// The workspace that a request belongs to, and the configuration that admitted it.
struct admission
{
    std::string                          workspace;
    std::string                          key_id;
    std::shared_ptr<configuration const> config;
};

/// Current state of an API key whose request was admitted earlier.
enum class key_state
{
    good,
    withdrawn,  // queued requests are refused, dispatched ones finish
    compromised // dispatched requests are cancelled as well
};

struct model_request
{
    std::string            request_id;
    std::string            workspace;
    std::string            key_id;
    std::string            model;
    std::string            group;
    std::string            path;
    std::string            body;
    std::string            content;           // hash of model and prompt
    std::int64_t           prompt_tokens = 0; // estimate, for routing
    trace_context          trace;
    boot_clock::time_point deadline{};
};

struct service_request
{
    std::string            request_id;
    std::string            workspace;
    std::string            key_id;
    std::string            service;
    std::string            group;
    bool                   once = false; // must not run more than once
    std::string            idempotency_key;
    std::string            method;
    std::string            path;
    std::string            content_type;
    std::string            body;
    trace_context          trace;
    boot_clock::time_point deadline{};
};

/// Authenticates the value of an Authorization header. Fails with refusal. The secret of
/// the key is not passed on.
leaf::result<admission> admit(access_list const& access,
                              std::string const& authorization);

} // namespace marigoldcrank

#endif
