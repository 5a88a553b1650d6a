// Keeps the newest spans for `explain` and can write all of them to a file as JSON lines.
//
// Index: span_store, span_scope
#ifndef MARIGOLDCRANK_ADAPTERS_SPAN_STORE_HPP
#define MARIGOLDCRANK_ADAPTERS_SPAN_STORE_HPP

#include "domain/boot_clock.hpp"
#include "domain/span.hpp"

#include <cstddef>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Safe to use from several threads.
class span_store
{
public:
    /// Keeps the newest `capacity` spans; appends each span to `file` unless that is
    /// empty.
    span_store(std::string node, std::size_t capacity, std::string const& file);

    void add(span value);

    /// The kept spans with this request id or trace id, in the order in which they ended.
    std::vector<span> find(std::string const& id) const;

    /// Formats a span in OpenTelemetry's JSON form (one resourceSpans object).
    std::string format(span const& value) const;

private:
    std::string        node_;
    std::size_t        capacity_;
    mutable std::mutex mutex_;
    std::deque<span>   spans_;
    std::ofstream      file_;
};

/// A span of one hop from construction to destruction, then added to the store.
class span_scope
{
public:
    span_scope(span_store& store, trace_context const& parent, std::string request_id,
               std::string name);
    ~span_scope();
    span_scope(span_scope const&) = delete;
    span_scope& operator=(span_scope const&) = delete;

    void          note(std::string name, std::string value); // adds an attribute
    trace_context context() const;                           // parent of the next hop

private:
    span_store& store_;
    span        value_;
};

} // namespace marigoldcrank

#endif
