// Strict message parsing on Boost.Beast's state machine.

#include "briarglade/net/internal/http_message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <strings.h>

namespace briarglade::internal {

namespace http = boost::beast::http;

namespace {

constexpr uint16_t kFirstFinalStatus = 200;

bool IsControl(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  constexpr unsigned char kDelete = 0x7f;
  return (byte < ' ' && aByte != '\t') || byte == kDelete;
}

bool EqualsIgnoringCase(std::string_view aText, std::string_view aOther)
{
  return aText.size() == aOther.size() &&
         strncasecmp(aText.data(), aOther.data(), aText.size()) == 0;
}

// Returns whether a server may answer with a status. Other numbers are none
// (RFC 9110, 15), and a switch of protocols is never asked for.
bool IsStatus(int aStatus)
{
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  constexpr int kSwitchingProtocols = 101;
  return aStatus >= kFirst && aStatus <= kLast &&
         aStatus != kSwitchingProtocols;
}

// Returns whether a header announces a body.
bool AnnouncesBody(http::field aField, std::string_view aValue)
{
  return aField == http::field::transfer_encoding ||
         (aField == http::field::content_length && aValue != "0");
}

bool IsDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

// Returns whether the beginning of a status line, such as "HTTP/1.1 200",
// stands in a text.
bool HoldsStatusLine(std::string_view aText)
{
  constexpr std::string_view kProtocol = "HTTP/";
  constexpr std::string_view kPattern = "HTTP/0.0 000";
  for (size_t at = aText.find(kProtocol);
       at != std::string_view::npos && aText.size() - at >= kPattern.size();
       at = aText.find(kProtocol, at + 1)) {
    const std::string_view found = aText.substr(at, kPattern.size());
    const auto matches = [](char aByte, char aWanted) {
      return aWanted == '0' ? IsDigit(aByte) : aByte == aWanted;
    };
    if (std::equal(found.begin(), found.end(), kPattern.begin(), matches)) {
      return true;
    }
  }
  return false;
}

} // namespace

template<bool isRequest>
HttpMessageParser<isRequest>::HttpMessageParser(const HttpParseLimits& aLimits)
  : m_limits(aLimits)
{
  Base::eager(true);
  Base::header_limit(static_cast<uint32_t>(aLimits.m_maxHeaderBytes));
  Base::body_limit(aLimits.m_maxBodyBytes);
}

// Looks at the head's bytes before the library does, each of them once. Returns
// false once the head is known to be wrong.
template<bool isRequest>
bool HttpMessageParser<isRequest>::IsHeadAcceptable(std::string_view aBytes)
{
  for (; m_scanned < aBytes.size() && !m_isHeadSeen; ++m_scanned) {
    const char byte = aBytes[m_scanned];
    const char previous = m_lastScanned;
    m_lastScanned = byte;
    const bool isLineEnd = byte == '\n';
    if (isLineEnd != (previous == '\r')) {
      return false;
    }
    if (isLineEnd) {
      m_isHeadSeen = m_isLineEmpty && m_hasLine;
      m_hasLine = true;
      m_isLineEmpty = true;
      continue;
    }
    const bool isFolded = previous == '\n' && (byte == ' ' || byte == '\t');
    if (isFolded || (byte != '\r' && IsControl(byte))) {
      return false;
    }
    m_isLineEmpty = m_isLineEmpty && byte == '\r';
  }
  return true;
}

template<bool isRequest>
void HttpMessageParser<isRequest>::Fail(HttpParseFailure aFailure)
{
  if (m_failure == HttpParseFailure::None) {
    m_failure = aFailure;
  }
}

// Lets the library read once, and counts what isn't a part of the body.
template<bool isRequest>
size_t HttpMessageParser<isRequest>::Step(std::string_view aBytes,
                                          ErrorCode& aError)
{
  const bool hadHead = HasHead();
  const size_t bodyBefore = m_bodyBytes;
  const size_t step =
    Base::put(boost::asio::const_buffer(aBytes.data(), aBytes.size()), aError);
  if (m_bodyBytes > bodyBefore) {
    m_framingBytes = 0;
  } else if (hadHead) {
    m_framingBytes += step;
  }
  return step;
}

template<bool isRequest>
size_t HttpMessageParser<isRequest>::Feed(std::string_view aBytes,
                                          const BodySink& aSink)
{
  if (m_failure != HttpParseFailure::None || IsDone() || aBytes.empty()) {
    return 0;
  }
  const bool hadHead = HasHead();
  if (!hadHead && !IsHeadAcceptable(aBytes)) {
    Fail(HttpParseFailure::Malformed);
    return 0;
  }
  m_sink = &aSink;
  size_t taken = 0;
  ErrorCode error;
  while (taken < aBytes.size() && !error && !(HasHead() && Base::is_done())) {
    const size_t step = Step(aBytes.substr(taken), error);
    taken += step;
    if (step == 0) {
      break;
    }
  }
  // What was taken isn't offered again.
  m_scanned -= std::min(m_scanned, taken);
  m_sink = nullptr;
  const bool isUndecided = !error || error == http::error::need_more;
  const size_t untaken = aBytes.size() - taken;
  const bool isEndless = isUndecided && !IsDone() &&
                         m_framingBytes + untaken > m_limits.m_maxHeaderBytes;
  if (error == http::error::header_limit || isEndless) {
    Fail(HttpParseFailure::HeaderTooLarge);
  } else if (error == http::error::body_limit) {
    Fail(HttpParseFailure::BodyTooLarge);
  } else if (!isUndecided) {
    Fail(HttpParseFailure::Malformed);
  }
  return taken;
}

template<bool isRequest>
size_t HttpMessageParser<isRequest>::FeedHead(std::string_view aBytes)
{
  if (m_failure != HttpParseFailure::None || HasHead()) {
    return 0;
  }
  if (!IsHeadAcceptable(aBytes)) {
    Fail(HttpParseFailure::Malformed);
    return 0;
  }
  const size_t taken =
    Feed(m_isHeadSeen ? aBytes.substr(0, m_scanned) : aBytes, BodySink());
  if (HasHead() && BodyLength().value_or(0) > m_limits.m_maxBodyBytes) {
    Fail(HttpParseFailure::BodyTooLarge);
  }
  return taken;
}

template<bool isRequest>
std::optional<uint64_t> HttpMessageParser<isRequest>::BodyLength() const
{
  // The library tells the length to on_body_init_impl() only with the first
  // byte of the body.
  const boost::optional<uint64_t> length = Base::content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

template<bool isRequest>
void HttpMessageParser<isRequest>::FeedEnd()
{
  ErrorCode error;
  Base::put_eof(error);
  if (error) {
    Fail(HttpParseFailure::Malformed);
  }
}

template<bool isRequest>
void HttpMessageParser<isRequest>::on_request_impl(http::verb aVerb,
                                                   Text aMethod,
                                                   Text aTarget,
                                                   int,
                                                   ErrorCode& aError)
{
  aError = {};
  if (aVerb == http::verb::unknown) {
    aError = http::make_error_code(http::error::bad_method);
    return;
  }
  m_method.assign(aMethod.data(), aMethod.size());
  m_target.assign(aTarget.data(), aTarget.size());
}

template<bool isRequest>
void HttpMessageParser<isRequest>::on_response_impl(int aStatus,
                                                    Text aReason,
                                                    int,
                                                    ErrorCode& aError)
{
  aError = {};
  if (!IsStatus(aStatus)) {
    aError = http::make_error_code(http::error::bad_status);
    return;
  }
  if (HoldsStatusLine(std::string_view(aReason.data(), aReason.size()))) {
    aError = http::make_error_code(http::error::bad_reason);
    return;
  }
  m_status = static_cast<uint16_t>(aStatus);
}

template<bool isRequest>
void HttpMessageParser<isRequest>::on_field_impl(http::field aField,
                                                 Text aName,
                                                 Text aValue,
                                                 ErrorCode& aError)
{
  aError = {};
  if (HasHead()) {
    return; // a trailer
  }
  const std::string_view value(aValue.data(), aValue.size());
  const auto repeats = [&](const HttpHeader& aHeader) {
    return EqualsIgnoringCase(aHeader.m_name,
                              std::string_view(aName.data(), aName.size()));
  };
  const bool isFraming = aField == http::field::host ||
                         aField == http::field::content_length ||
                         aField == http::field::transfer_encoding;
  if (isFraming && std::any_of(m_headers.begin(), m_headers.end(), repeats)) {
    aError = http::make_error_code(http::error::bad_field);
    return;
  }
  if (!isRequest && HoldsStatusLine(value)) {
    aError = http::make_error_code(http::error::bad_value);
    return;
  }
  if (!isRequest && m_status < kFirstFinalStatus &&
      AnnouncesBody(aField, value)) {
    // What follows an interim answer is the next one.
    aError = http::make_error_code(http::error::bad_value);
    return;
  }
  if (aField == http::field::transfer_encoding &&
      !EqualsIgnoringCase(value, "chunked")) {
    aError = http::make_error_code(http::error::bad_transfer_encoding);
    return;
  }
  m_headers.push_back(
    HttpHeader{ std::string(aName.data(), aName.size()), std::string(value) });
}

// The library forgets its own check of the length if a part of the body comes
// together with the head.
template<bool isRequest>
void HttpMessageParser<isRequest>::on_body_init_impl(
  const boost::optional<uint64_t>& aLength,
  ErrorCode& aError)
{
  aError = {};
  if (aLength && *aLength > m_limits.m_maxBodyBytes) {
    aError = http::make_error_code(http::error::body_limit);
  }
}

template<bool isRequest>
size_t HttpMessageParser<isRequest>::on_body_impl(Text aBody, ErrorCode& aError)
{
  aError = {};
  if (m_sink != nullptr && *m_sink) {
    (*m_sink)(std::string_view(aBody.data(), aBody.size()));
  }
  m_bodyBytes += aBody.size();
  return aBody.size();
}

template class HttpMessageParser<true>;
template class HttpMessageParser<false>;

} // namespace briarglade::internal
