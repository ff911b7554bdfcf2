// Incremental, strict parsing of one HTTP/1.1 message with Boost.Beast.
//
// Stricter than the library where two readers could disagree on where a message
// ends: line ends without a carriage return, folded headers, control bytes, and
// transfer codings other than "chunked" are errors, and so is a status line
// within an answer's head: there one answer was cut off and another one
// follows. A status that is none, such as 000 or 999, is an error, as is an
// interim answer that announces a body. Chunk extensions and trailers are read
// and dropped; what stands between two parts of a body may be as long as a
// head.
//
// Example:
//   HttpMessageParser<true> parser(limits);
//   const size_t taken = parser.Feed(bytes);
//   if (parser.Failure() != HttpParseFailure::None) { ... }
//   if (parser.IsDone()) { Use(parser.Method(), parser.Headers()); }

#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "briarglade/net/http_headers.h"

namespace briarglade::internal {

// Bounds on one message, in bytes.
struct HttpParseLimits
{
  size_t m_maxHeaderBytes = 16 * 1024;
  size_t m_maxBodyBytes = 1024 * 1024;
};

enum class HttpParseFailure
{
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge
};

template<bool isRequest>
class HttpMessageParser : private boost::beast::http::basic_parser<isRequest>
{
  using Base = boost::beast::http::basic_parser<isRequest>;
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

public:
  // Takes body bytes as they come.
  using BodySink = std::function<void(std::string_view)>;

  explicit HttpMessageParser(const HttpParseLimits& aLimits);

  // Reads from the bytes and returns how many belong to the message. Bytes that
  // were not taken must be offered again, followed by what came later.
  size_t Feed(std::string_view aBytes, const BodySink& aSink);
  // Like Feed(), but reads nothing beyond the head.
  size_t FeedHead(std::string_view aBytes);
  // The connection was closed in an orderly way; ends a message without a
  // declared length.
  void FeedEnd();

  HttpParseFailure Failure() const { return m_failure; }
  bool HasHead() const { return Base::is_header_done(); }
  bool IsDone() const { return HasHead() && Base::is_done(); }
  // The announced length of the body; nothing if it comes in chunks. Only after
  // HasHead().
  std::optional<uint64_t> BodyLength() const;
  // The end of the message is the end of the connection.
  bool EndsWithConnection() const { return HasHead() && Base::need_eof(); }
  bool KeepsConnection() const { return Base::keep_alive(); }
  const std::string& Method() const { return m_method; }
  const std::string& Target() const { return m_target; }
  // An answer's status, from 100 to 599. Only after HasHead().
  uint16_t Status() const { return m_status; }
  HttpHeaders& Headers() { return m_headers; }

private:
  bool IsHeadAcceptable(std::string_view aBytes);
  size_t Step(std::string_view aBytes, ErrorCode& aError);
  void Fail(HttpParseFailure aFailure);

  void on_request_impl(boost::beast::http::verb,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       ErrorCode& aError) override;
  void on_response_impl(int aStatus, Text, int, ErrorCode& aError) override;
  void on_field_impl(boost::beast::http::field aField,
                     Text aName,
                     Text aValue,
                     ErrorCode& aError) override;
  void on_header_impl(ErrorCode& aError) override { aError = {}; }
  void on_body_init_impl(const boost::optional<uint64_t>& aLength,
                         ErrorCode& aError) override;
  size_t on_body_impl(Text aBody, ErrorCode& aError) override;
  void on_chunk_header_impl(uint64_t, Text, ErrorCode& aError) override
  {
    aError = {};
  }
  size_t on_chunk_body_impl(uint64_t, Text aBody, ErrorCode& aError) override
  {
    return on_body_impl(aBody, aError);
  }
  void on_finish_impl(ErrorCode& aError) override { aError = {}; }

  HttpParseLimits m_limits;
  HttpParseFailure m_failure = HttpParseFailure::None;
  // Bytes of the body so far, and bytes between two parts of it: chunk heads,
  // their extensions, trailers.
  size_t m_bodyBytes = 0;
  size_t m_framingBytes = 0;
  // Bytes of the head that were looked at before and not taken yet, the last
  // one that was looked at, and where it stands.
  size_t m_scanned = 0;
  char m_lastScanned = 0;
  bool m_isLineEmpty = true;
  bool m_hasLine = false;
  bool m_isHeadSeen = false;
  uint16_t m_status = 0;
  std::string m_method;
  std::string m_target;
  HttpHeaders m_headers;
  const BodySink* m_sink = nullptr;
};

extern template class HttpMessageParser<true>;
extern template class HttpMessageParser<false>;

} // namespace briarglade::internal
