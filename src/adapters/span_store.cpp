// Keeps spans and formats them in OpenTelemetry's JSON form.
#include "adapters/span_store.hpp"

#include <nlohmann/json.hpp>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t span_digits = 16;

nlohmann::json attribute_of(std::string const& name, std::string const& value)
{
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}
} // namespace

span_store::span_store(std::string node, std::size_t capacity, std::string const& file)
    : node_(std::move(node)), capacity_(capacity)
{
    if (!file.empty())
    {
        file_.open(file, std::ios::app);
    }
}

void span_store::add(span value)
{
    auto const            text = file_.is_open() ? format(value) : std::string{};
    std::lock_guard const lock(mutex_);
    if (file_.is_open())
    {
        file_ << text << std::endl;
    }
    spans_.push_back(std::move(value));
    if (spans_.size() > capacity_)
    {
        spans_.pop_front();
    }
}

std::vector<span> span_store::find(std::string const& id) const
{
    std::vector<span>     found;
    std::lock_guard const lock(mutex_);
    for (auto const& value : spans_)
    {
        if (value.request_id == id || value.trace_id == id)
        {
            found.push_back(value);
        }
    }
    return found;
}

std::string span_store::format(span const& value) const
{
    using nlohmann::json;
    json attributes = json::array({attribute_of("request.id", value.request_id)});
    for (auto const& attribute : value.attributes)
    {
        attributes.push_back(attribute_of(attribute.name, attribute.value));
    }
    json const body = {{"traceId", value.trace_id},
                       {"spanId", value.span_id},
                       {"parentSpanId", value.parent_id},
                       {"name", value.name},
                       {"kind", 1},
                       {"startTimeUnixNano", std::to_string(value.begin)},
                       {"endTimeUnixNano", std::to_string(value.end)},
                       {"attributes", attributes}};
    json const resource = {
        {"attributes", json::array({attribute_of("service.name", "marigoldcrankd"),
                                    attribute_of("service.instance.id", node_)})}};
    json const scope = {{"scope", {{"name", "marigoldcrank"}}},
                        {"spans", json::array({body})}};
    json const resource_spans = {{"resource", resource},
                                 {"scopeSpans", json::array({scope})}};
    return json{{"resourceSpans", json::array({resource_spans})}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

span_scope::span_scope(span_store& store, trace_context const& parent,
                       std::string request_id, std::string name)
    : store_(store)
{
    value_.trace_id = parent.trace_id;
    value_.span_id = random_id(span_digits);
    value_.parent_id = parent.span_id;
    value_.request_id = std::move(request_id);
    value_.name = std::move(name);
    value_.begin = unix_nanos();
}

span_scope::~span_scope()
{
    value_.end = unix_nanos();
    store_.add(std::move(value_));
}

void span_scope::note(std::string name, std::string value)
{
    value_.attributes.push_back({std::move(name), std::move(value)});
}

trace_context span_scope::context() const
{
    return {value_.trace_id, value_.span_id};
}

} // namespace marigoldcrank
