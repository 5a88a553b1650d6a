// Queries and records of the version that a stream began with.
#include "serving/call_origin.hpp"

#include "serving/list_check.hpp"

namespace marigoldcrank
{

call_origin::call_origin(call_context& context) : context_(context) {}

boost::asio::awaitable<bool> call_origin::find()
{
    origin_query const wanted{.key = origin_key(),
                              .service = context_.admitted.service_name,
                              .span = stream_span()};
    auto const         began = boot_clock::now();
    auto origin = conclude_origin(own_knowledge(context_.state, wanted), wanted.service);
    if (context_.state.keepers != nullptr)
    {
        origin = co_await context_.state.keepers->find(wanted);
    }
    if (!origin || !serve_at(origin->service))
    {
        co_return false;
    }
    if (!is_listed(*origin))
    {
        // The list may only lack the servers of the version so far.
        co_await list_is_as_of(context_.state, began);
    }
    context_.attempts.require_version(origin->version);
    co_return true;
}

bool call_origin::is_listed(stream_origin const& origin) const
{
    auto const& versions = context_.state.servers.index().versions();
    auto const  listed = versions.find(origin.service);
    return listed != versions.end() && listed->second.count(origin.version) > 0;
}

bool call_origin::serve_at(std::string const& service)
{
    bool const allowed = context_.admitted.matched->has_target(service);
    if (allowed && service != context_.admitted.service_name)
    {
        context_.admitted.service_name = service;
        context_.admitted.features.service = service;
        context_.admitted.target = context_.admitted.rules->find_service(service);
    }
    return allowed;
}

void call_origin::record(backend_server const& server)
{
    bool const known = context_.state.has_kept_version(server);
    context_.attempts.require_version(known ? server.version : "");
    bool const may_be_resumed =
        context_.admitted.matched->resumable && known && context_.is_stream();
    if (!may_be_resumed)
    {
        return;
    }
    origin_record const record{.key = origin_key(),
                               .origin = {server.group, server.version},
                               .life = stream_span()};
    context_.state.open.begin(record, boot_clock::now());
    if (context_.state.keepers != nullptr)
    {
        context_.state.keepers->record(record);
    }
    else
    {
        context_.state.origins.record(record, boot_clock::now());
    }
}

void call_origin::end()
{
    context_.state.open.end(origin_key());
}

std::uint64_t call_origin::origin_key() const
{
    bool const again = !context_.call.resume_after.empty();
    return stream_key(context_.admitted.workspace_name(),
                      again ? context_.call.resumes : context_.call.id);
}

millis call_origin::stream_span()
{
    return context_.state.stream_span(
        context_.admitted.service_name,
        caller_patience(context_.call, *context_.admitted.matched));
}

} // namespace marigoldcrank
