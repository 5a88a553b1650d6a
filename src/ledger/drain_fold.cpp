// Fold of operators' drain orders.
#include "ledger/drain_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

bool drain_list::covers(backend_server const& server) const
{
    return servers.count(server.id) != 0 || data_centres.count(server.data_centre) != 0;
}

bool drain_fold::apply(std::uint64_t offset, wire::server_drain const& record)
{
    bool const one_server = record.scope() == "server";
    if (offset <= list_.revision || record.name().empty() ||
        (!one_server && record.scope() != "data_centre"))
    {
        return false;
    }
    auto& names = one_server ? list_.servers : list_.data_centres;
    if (record.drained())
    {
        names.insert(record.name());
    }
    else
    {
        names.erase(record.name());
    }
    list_.revision = offset;
    return true;
}

bool drain_fold::apply(wire::drain_state const& state)
{
    if (state.revision() <= list_.revision)
    {
        return false;
    }
    list_.revision = state.revision();
    list_.servers = {state.servers().begin(), state.servers().end()};
    list_.data_centres = {state.data_centres().begin(), state.data_centres().end()};
    return true;
}

drain_list const& drain_fold::value() const noexcept
{
    return list_;
}

wire::drain_state to_message(drain_list const& list)
{
    wire::drain_state state;
    state.set_revision(list.revision);
    for (auto const& name : list.servers)
    {
        state.add_servers(name);
    }
    for (auto const& name : list.data_centres)
    {
        state.add_data_centres(name);
    }
    return state;
}

} // namespace marigoldcrank
