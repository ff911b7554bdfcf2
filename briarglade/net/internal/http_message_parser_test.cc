// Tests of the strict message parser.

#include "briarglade/net/internal/http_message_parser.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>

namespace briarglade::internal {
namespace {

constexpr HttpParseLimits kLimits{ 1'024, 1'024 };

struct Parsed
{
  bool m_isDone = false;
  HttpParseFailure m_failure = HttpParseFailure::None;
  size_t m_taken = 0;
  size_t m_headers = 0;
};

// Parses a message whose bytes come in pieces of one size.
template<bool isRequest = true>
Parsed ParseInPieces(const std::string& aBytes, size_t aPiece)
{
  HttpMessageParser<isRequest> parser(kLimits);
  Parsed parsed;
  std::string pending;
  for (size_t at = 0; at < aBytes.size(); at += aPiece) {
    pending += aBytes.substr(at, aPiece);
    const size_t taken = parser.Feed(pending, [](std::string_view) {});
    pending.erase(0, taken);
    parsed.m_taken += taken;
    if (parser.IsDone() || parser.Failure() != HttpParseFailure::None) {
      break;
    }
  }
  parsed.m_isDone = parser.IsDone();
  parsed.m_failure = parser.Failure();
  parsed.m_headers = parser.Headers().size();
  return parsed;
}

const std::string kHead = "POST /a HTTP/1.1\r\nHost: x\r\n";

TEST_CASE("a good request is taken in whatever pieces its head comes")
{
  const std::string request =
    kHead + "X-Long: some value\r\nContent-Length: 3\r\n\r\nabc";
  for (size_t piece = 1; piece <= request.size(); ++piece) {
    CAPTURE(piece);
    const Parsed parsed = ParseInPieces(request + "POST /next", piece);
    CHECK(parsed.m_failure == HttpParseFailure::None);
    CHECK(parsed.m_isDone);
    CHECK(parsed.m_taken == request.size());
    CHECK(parsed.m_headers == 3);
  }
}

TEST_CASE("a message whose length isn't a number is refused in whatever pieces "
          "it comes")
{
  for (const char* length : { "",
                              "-1",
                              "+3",
                              "three",
                              "3 3",
                              "3,4",
                              "0x3",
                              "3.0",
                              "99999999999999999999999999" }) {
    CAPTURE(std::string(length));
    const std::string message =
      std::string("Content-Length: ") + length + "\r\n\r\nabc";
    const std::string answer = "HTTP/1.1 200 OK\r\n" + message;
    for (size_t piece = 1; piece <= message.size(); ++piece) {
      CAPTURE(piece);
      CHECK(ParseInPieces(kHead + message, piece).m_failure ==
            HttpParseFailure::Malformed);
      CHECK(ParseInPieces<false>(answer, piece).m_failure ==
            HttpParseFailure::Malformed);
    }
  }
}

TEST_CASE("a head alone is read in whatever pieces it comes; the length of its "
          "body is known, and judged, before a byte of the body")
{
  struct Case
  {
    std::string m_fields;
    HttpParseFailure m_failure;
    std::optional<uint64_t> m_length;
  };
  const Case cases[] = {
    { "Content-Length: 3\r\n", HttpParseFailure::None, 3 },
    { "Transfer-Encoding: chunked\r\n", HttpParseFailure::None, std::nullopt },
    { "Content-Length: 1025\r\n", HttpParseFailure::BodyTooLarge, 1025 },
    { "X-A: b\rc\r\n", HttpParseFailure::Malformed, std::nullopt },
    { "X-Long: " + std::string(2'000, 'x') + "\r\n",
      HttpParseFailure::HeaderTooLarge,
      std::nullopt },
  };
  for (const Case& each : cases) {
    const std::string head = kHead + each.m_fields + "\r\n";
    CAPTURE(each.m_fields);
    for (size_t piece = 1; piece <= head.size() + 1; ++piece) {
      CAPTURE(piece);
      const std::string bytes = head + "abcPOST /next";
      HttpMessageParser<true> parser(kLimits);
      size_t taken = 0;
      for (size_t end = piece;
           !parser.HasHead() && parser.Failure() == HttpParseFailure::None &&
           end < bytes.size() + piece;
           end += piece) {
        taken +=
          parser.FeedHead(std::string_view(bytes).substr(taken, end - taken));
      }
      CHECK(parser.Failure() == each.m_failure);
      if (parser.HasHead()) {
        CHECK(taken == head.size());
        CHECK(parser.BodyLength() == each.m_length);
        CHECK_FALSE(parser.IsDone());
      }
    }
  }
}

TEST_CASE("a body that is too long is refused in whatever pieces it comes")
{
  const std::string message =
    "X-Note: a\r\nContent-Length: 1025\r\n\r\n" + std::string(1'025, 'x');
  const std::string request = kHead + message;
  const std::string answer = "HTTP/1.1 200 OK\r\n" + message;
  for (size_t piece = 1; piece <= request.size(); ++piece) {
    CAPTURE(piece);
    const Parsed parsed = ParseInPieces(request, piece);
    CHECK(parsed.m_failure == HttpParseFailure::BodyTooLarge);
    CHECK_FALSE(parsed.m_isDone);
    const Parsed answered = ParseInPieces<false>(answer, piece);
    CHECK(answered.m_failure == HttpParseFailure::BodyTooLarge);
    CHECK_FALSE(answered.m_isDone);
  }
}

TEST_CASE(
  "an answer that is cut off within its head isn't read as one with the "
  "next one")
{
  const std::string first = "HTTP/1.1 421 Misdirected Request\r\nX-Mark: 1\r\n"
                            "X-Next: 6,2,6\r\nContent-Length: 0\r\n\r\n";
  const std::string second =
    "HTTP/1.1 200 OK\r\nX-Name: mine\r\nContent-Length: 2\r\n\r\nok";
  for (size_t cut = 1; cut < first.size(); ++cut) {
    for (const size_t piece : { size_t{ 1 }, size_t{ 7 }, size_t{ 1'000 } }) {
      CAPTURE(cut);
      CAPTURE(piece);
      const Parsed parsed =
        ParseInPieces<false>(first.substr(0, cut) + second, piece);
      CHECK(parsed.m_failure == HttpParseFailure::Malformed);
      CHECK_FALSE(parsed.m_isDone);
    }
  }
}

TEST_CASE("a header may name a protocol")
{
  const std::string answer =
    "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 front\r\nUpgrade: HTTP/2.0\r\n"
    "Content-Length: 2\r\n\r\nok";
  CHECK(ParseInPieces<false>(answer, answer.size()).m_isDone);
}

TEST_CASE("no byte of a head goes unseen in whatever pieces it comes")
{
  for (const std::string& line : { std::string("X-Note: a\x01z\r\n"),
                                   std::string("X-Note: a\nX: b\r\n"),
                                   std::string("X-Note: a\r\n b\r\n"),
                                   std::string("X-Note: a\rb\r\n") }) {
    std::string request = kHead + "X-First: 1\r\n";
    request += line;
    request += "Content-Length: 0\r\n\r\n";
    for (size_t piece = 1; piece <= request.size(); ++piece) {
      CAPTURE(line);
      CAPTURE(piece);
      const Parsed parsed = ParseInPieces(request, piece);
      CHECK(parsed.m_failure == HttpParseFailure::Malformed);
      CHECK_FALSE(parsed.m_isDone);
    }
  }
}

// MIXED: a server in trouble answers with a status that no server has.
TEST_CASE(
  "MIXED: an answer whose status is none is malformed in whatever pieces "
  "its head comes")
{
  const std::string bodies[] = {
    "\r\n",
    "Content-Length: 0\r\n\r\n",
    "Content-Length: 2\r\n\r\nok",
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
  };
  for (const char* status : { "000",
                              "001",
                              "099",
                              "0",
                              "00",
                              "0200",
                              "2000",
                              "-01",
                              "+20",
                              "2 0",
                              "20x",
                              "101",
                              "600",
                              "799",
                              "999" }) {
    for (const std::string& body : bodies) {
      const std::string answer =
        "HTTP/1.1 " + std::string(status) + " Odd\r\n" + body;
      for (const size_t piece : { size_t(1), size_t(7), answer.size() }) {
        CAPTURE(answer);
        CAPTURE(piece);
        const Parsed parsed = ParseInPieces<false>(answer, piece);
        CHECK(parsed.m_failure == HttpParseFailure::Malformed);
        CHECK_FALSE(parsed.m_isDone);
      }
    }
  }
}

TEST_CASE("MIXED: an interim answer that announces a body is malformed")
{
  const std::string head = "HTTP/1.1 100 Continue\r\n";
  for (const char* framing : { "Content-Length: 5\r\n\r\nhello",
                               "Transfer-Encoding: chunked\r\n\r\n" }) {
    CAPTURE(framing);
    CHECK(ParseInPieces<false>(head + framing, 1).m_failure ==
          HttpParseFailure::Malformed);
  }
  CHECK(ParseInPieces<false>(head + "Content-Length: 0\r\n\r\n", 1).m_isDone);
  CHECK(ParseInPieces<false>(head + "\r\n", 1).m_isDone);
}

TEST_CASE("each status from 100 to 599 is one, but the switch of protocols")
{
  for (int status = 100; status < 600; ++status) {
    CAPTURE(status);
    const std::string answer = "HTTP/1.1 " + std::to_string(status) +
                               " Some\r\nContent-Length: 0\r\n\r\n";
    CHECK(ParseInPieces<false>(answer, answer.size()).m_isDone ==
          (status != 101));
  }
}

} // namespace
} // namespace briarglade::internal
