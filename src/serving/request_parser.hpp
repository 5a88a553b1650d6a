// Parser of a caller's request.
//
// Index: request_parser
#ifndef MARIGOLDCRANK_SERVING_REQUEST_PARSER_HPP
#define MARIGOLDCRANK_SERVING_REQUEST_PARSER_HPP

#include "serving/http_request.hpp"

#include <boost/beast/http/basic_parser.hpp>

namespace marigoldcrank
{

/// Keeps fields of any length, takes memory for a body only as it arrives, and drops the
/// fields of a trailer. Beast's own parser throws for a field above 65,533 bytes, and for
/// a stated length of a body that the VM has no memory for. Its reads would pass the
/// exception on to the event loop.
class request_parser : public boost::beast::http::basic_parser<true>
{
public:
    http_request const& request() const noexcept;

    /// Gives up the request; the parser can't be used afterwards.
    http_request release();

private:
    using error_code = boost::system::error_code;
    using string_view = boost::beast::string_view;

    // 4096  fields of a head, as many as the default limit of bytes has room for; a field
    //       takes many times the bytes of a short one
    static constexpr std::size_t max_fields = 4096;

    void on_request_impl(boost::beast::http::verb method, string_view method_text,
                         string_view target, int version, error_code& error) override;
    void on_response_impl(int status, string_view reason, int version,
                          error_code& error) override;
    void on_field_impl(boost::beast::http::field id, string_view name, string_view value,
                       error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(boost::optional<std::uint64_t> const& length,
                           error_code&                           error) override;
    std::size_t on_body_impl(string_view body, error_code& error) override;
    void        on_chunk_header_impl(std::uint64_t size, string_view extensions,
                                     error_code& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, string_view body,
                                   error_code& error) override;
    void        on_finish_impl(error_code& error) override;

    http_request request_;
    std::size_t  fields_ = 0;
    bool         head_complete_ = false;
};

} // namespace marigoldcrank

#endif
