// Bounds the connections to one port.
//
// Index: 1 connection_limit, 2 limited_connection
#ifndef MARIGOLDCRANK_SERVING_CONNECTION_LIMIT_HPP
#define MARIGOLDCRANK_SERVING_CONNECTION_LIMIT_HPP

#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace marigoldcrank
{

/// With more connections than allowed, closes the one that has been silent for longest,
/// so that clients that open many don't keep out others.
class connection_limit
{
public:
    /// `on_close` is called for each connection that is closed.
    connection_limit(std::size_t most, std::function<void()> on_close)
        : most_(most), on_close_(std::move(on_close))
    {
    }

private:
    friend class limited_connection;

    std::uint64_t add(boost::beast::tcp_stream& stream)
    {
        open_.emplace(++last_number_, &stream);
        if (open_.size() > most_)
        {
            open_.begin()->second->close();
            open_.erase(open_.begin());
            on_close_();
        }
        return last_number_;
    }

    std::size_t                                        most_;
    std::function<void()>                              on_close_;
    std::map<std::uint64_t, boost::beast::tcp_stream*> open_; // the most silent first
    std::uint64_t                                      last_number_ = 0;
};

/// Counts a connection for its lifetime, during which `stream` must exist.
class limited_connection
{
public:
    limited_connection(std::shared_ptr<connection_limit> limit,
                       boost::beast::tcp_stream&         stream)
        : limit_(std::move(limit)), number_(limit_->add(stream))
    {
    }

    ~limited_connection()
    {
        limit_->open_.erase(number_);
    }

    limited_connection(limited_connection const&) = delete;
    limited_connection& operator=(limited_connection const&) = delete;

    /// It has brought a request.
    void renew()
    {
        auto entry = limit_->open_.extract(number_);
        if (!entry.empty())
        {
            number_ = ++limit_->last_number_;
            entry.key() = number_;
            limit_->open_.insert(std::move(entry));
        }
    }

private:
    std::shared_ptr<connection_limit> limit_;
    std::uint64_t                     number_;
};

} // namespace marigoldcrank

#endif
