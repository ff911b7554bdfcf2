// Answers on an accepted connection.

#include "briarglade/net/http_exchange.h"

#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>

#include "briarglade/net/answer_hold.h"
#include "briarglade/net/internal/http_connection.h"

namespace briarglade {

namespace {

constexpr uint16_t kFirstWithBody = 200;
constexpr uint16_t kNoContent = 204;
constexpr uint16_t kNotModified = 304;

bool HasBody(uint16_t aStatus)
{
  return aStatus >= kFirstWithBody && aStatus != kNoContent &&
         aStatus != kNotModified;
}

std::string_view ReasonOf(uint16_t aStatus)
{
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(aStatus));
  return { reason.data(), reason.size() };
}

} // namespace

HttpExchange::HttpExchange(HttpConnection* aConnection)
  : m_connection(aConnection)
{
}

void HttpExchange::Detach()
{
  m_connection = nullptr;
  m_onDrained = nullptr;
  m_onClosed = nullptr;
}

std::string HttpExchange::Header(std::string_view aName) const
{
  return FindHeader(m_headers, aName);
}

std::string HttpExchange::Address() const
{
  return IsOpen() ? m_connection->Address() : std::string();
}

std::string HttpExchange::MakeHead(uint16_t aStatus,
                                   const HttpHeaders& aHeaders) const
{
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  head.append(ReasonOf(aStatus));
  head += "\r\n";
  for (const HttpHeader& header : aHeaders) {
    head += header.m_name + ": " + header.m_value + "\r\n";
  }
  if (m_closesAfterwards) {
    head += "Connection: close\r\n";
  }
  return head;
}

void HttpExchange::Respond(uint16_t aStatus,
                           const HttpHeaders& aHeaders,
                           std::string_view aBody)
{
  if (!IsOpen()) {
    return;
  }
  m_closesAfterwards = m_closesAfterwards || m_connection->MustClose();
  std::string head = MakeHead(aStatus, aHeaders);
  if (HasBody(aStatus)) {
    head += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  head += "\r\n";
  const bool sendsBody = HasBody(aStatus) && m_method != "HEAD";
  m_connection->Send({ head, sendsBody ? aBody : std::string_view() });
  m_connection->FinishAnswer(!m_closesAfterwards);
}

void HttpExchange::StartStream(uint16_t aStatus, const HttpHeaders& aHeaders)
{
  if (!IsOpen()) {
    return;
  }
  m_closesAfterwards = m_closesAfterwards || m_connection->MustClose();
  // Waits for the first part of the body, so that both leave together.
  m_connection->SendLater(MakeHead(aStatus, aHeaders) +
                          "Transfer-Encoding: chunked\r\n\r\n");
}

void HttpExchange::Write(std::string_view aData)
{
  if (!IsOpen() || aData.empty()) {
    return;
  }
  constexpr size_t kMaxSizeLine = 24;
  char size[kMaxSizeLine];
  const int length = std::snprintf(size, sizeof(size), "%zx\r\n", aData.size());
  m_connection->Send(
    { std::string_view(size, static_cast<size_t>(length)), aData, "\r\n" });
}

void HttpExchange::EndStream()
{
  if (!IsOpen()) {
    return;
  }
  m_connection->Send({ "0\r\n\r\n" });
  m_connection->FinishAnswer(!m_closesAfterwards);
}

void HttpExchange::Abort()
{
  if (!IsOpen()) {
    return;
  }
  HttpConnection* connection = m_connection;
  Detach();
  connection->CutSoon();
}

void HttpExchange::HoldUntilTaken(std::shared_ptr<AnswerHold> aHold)
{
  if (IsOpen()) {
    m_connection->HoldUntilTaken(std::move(aHold));
  }
}

void HttpExchange::CountUnread(std::unique_ptr<AnswerHold> aHold)
{
  if (IsOpen()) {
    m_connection->CountUnread(std::move(aHold));
  }
}

size_t HttpExchange::UnsentBytes() const
{
  return IsOpen() ? m_connection->UnsentBytes() : 0;
}

void HttpExchange::OnDrained(std::function<void()> aCallback)
{
  if (IsOpen()) {
    m_onDrained = std::move(aCallback);
  }
}

void HttpExchange::OnClosed(std::function<void()> aCallback)
{
  if (IsOpen()) {
    m_onClosed = std::move(aCallback);
  }
}

} // namespace briarglade
