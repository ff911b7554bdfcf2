// Counters and histograms, kept for each client account and class, and their
// exposition as text.
//
// Example:
//   Metrics metrics;
//   metrics.Observe(Measure::TimeToFirstToken, account, trafficClass, 12.5);
//   metrics.CountAnswer(account, trafficClass, ResultCode::Ok);
//   std::string page = metrics.Render();

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "briarglade/base/ids.h"
#include "briarglade/base/result_code.h"

namespace briarglade {

// What is measured of each request, in milliseconds.
enum class Measure
{
  TimeToFirstToken,
  TimeBetweenTokens,
  QueueWait,
  Total
};

class LatencyHistogram;

// Returns a label's value as the text exposition format requires it between
// quotation marks.
std::string EscapeLabel(const std::string& aValue);

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds one observation, in milliseconds.
  void Observe(Measure aMeasure,
               const AccountId& aAccount,
               const ClassId& aClass,
               double aMillis);
  // Returns the histogram itself, for callers that observe often. Valid as long
  // as the Metrics.
  LatencyHistogram& Histogram(Measure aMeasure,
                              const AccountId& aAccount,
                              const ClassId& aClass);
  // Counts one finished request.
  void CountAnswer(const AccountId& aAccount,
                   const ClassId& aClass,
                   ResultCode aCode);
  // Adds to a counter of the node, such as "peer_messages_dropped".
  void Count(const std::string& aName, uint64_t aAmount = 1);
  // Sets a gauge of the node.
  void SetGauge(const std::string& aName, double aValue);
  // Replaces all gauges whose names start with the prefix, so that series with
  // labels that no longer exist disappear.
  void ReplaceGauges(const std::string& aPrefix,
                     const std::map<std::string, double>& aGauges);

  // Returns everything in the text exposition format.
  std::string Render() const;

private:
  // The labels of one series.
  struct SeriesKey
  {
    Measure m_measure;
    AccountId m_account;
    ClassId m_class;
    bool operator<(const SeriesKey& aOther) const;
  };
  struct AnswerKey
  {
    AccountId m_account;
    ClassId m_class;
    ResultCode m_code;
    bool operator<(const AnswerKey& aOther) const;
  };

  std::map<SeriesKey, std::unique_ptr<LatencyHistogram>> m_histograms;
  std::map<AnswerKey, uint64_t> m_answers;
  std::map<std::string, uint64_t> m_counters;
  std::map<std::string, double> m_gauges;
};

} // namespace briarglade
