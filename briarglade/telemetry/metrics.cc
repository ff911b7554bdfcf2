// Series by label, rendered as text.

#include "briarglade/telemetry/metrics.h"

#include <sstream>
#include <tuple>

#include "briarglade/telemetry/latency_histogram.h"

namespace briarglade {

namespace {

const char* MeasureName(Measure aMeasure)
{
  switch (aMeasure) {
    case Measure::TimeToFirstToken:
      return "briarglade_time_to_first_token_ms";
    case Measure::TimeBetweenTokens:
      return "briarglade_time_between_tokens_ms";
    case Measure::QueueWait:
      return "briarglade_queue_wait_ms";
    case Measure::Total:
      return "briarglade_request_total_ms";
  }
  return "briarglade_unknown_ms";
}

std::string Labels(const AccountId& aAccount, const ClassId& aClass)
{
  return "account=\"" + aAccount.Value() + "\",class=\"" + aClass.Value() +
         "\"";
}

void RenderHistogram(std::ostream& aOut,
                     const std::string& aName,
                     const std::string& aLabels,
                     const LatencyHistogram& aHistogram)
{
  for (const LatencyHistogram::Bucket& bucket : aHistogram.Buckets()) {
    aOut << aName << "_bucket{" << aLabels << ",le=\"" << bucket.m_upperEdge
         << "\"} " << bucket.m_cumulative << "\n";
  }
  aOut << aName << "_bucket{" << aLabels << ",le=\"+Inf\"} "
       << aHistogram.Count() << "\n";
  aOut << aName << "_sum{" << aLabels << "} " << aHistogram.Sum() << "\n";
  aOut << aName << "_count{" << aLabels << "} " << aHistogram.Count() << "\n";
}

} // namespace

std::string EscapeLabel(const std::string& aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

bool Metrics::SeriesKey::operator<(const SeriesKey& aOther) const
{
  return std::tie(m_measure, m_account, m_class) <
         std::tie(aOther.m_measure, aOther.m_account, aOther.m_class);
}

bool Metrics::AnswerKey::operator<(const AnswerKey& aOther) const
{
  return std::tie(m_account, m_class, m_code) <
         std::tie(aOther.m_account, aOther.m_class, aOther.m_code);
}

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

LatencyHistogram& Metrics::Histogram(Measure aMeasure,
                                     const AccountId& aAccount,
                                     const ClassId& aClass)
{
  std::unique_ptr<LatencyHistogram>& histogram =
    m_histograms[SeriesKey{ aMeasure, aAccount, aClass }];
  if (!histogram) {
    histogram = std::make_unique<LatencyHistogram>();
  }
  return *histogram;
}

void Metrics::Observe(Measure aMeasure,
                      const AccountId& aAccount,
                      const ClassId& aClass,
                      double aMillis)
{
  Histogram(aMeasure, aAccount, aClass).Add(aMillis);
}

void Metrics::CountAnswer(const AccountId& aAccount,
                          const ClassId& aClass,
                          ResultCode aCode)
{
  ++m_answers[AnswerKey{ aAccount, aClass, aCode }];
}

void Metrics::Count(const std::string& aName, uint64_t aAmount)
{
  m_counters[aName] += aAmount;
}

void Metrics::SetGauge(const std::string& aName, double aValue)
{
  m_gauges[aName] = aValue;
}

void Metrics::ReplaceGauges(const std::string& aPrefix,
                            const std::map<std::string, double>& aGauges)
{
  auto entry = m_gauges.lower_bound(aPrefix);
  while (entry != m_gauges.end() &&
         entry->first.compare(0, aPrefix.size(), aPrefix) == 0) {
    entry = m_gauges.erase(entry);
  }
  for (const auto& [name, value] : aGauges) {
    m_gauges[aPrefix + name] = value;
  }
}

std::string Metrics::Render() const
{
  std::ostringstream out;
  for (const auto& [key, histogram] : m_histograms) {
    RenderHistogram(out,
                    MeasureName(key.m_measure),
                    Labels(key.m_account, key.m_class),
                    *histogram);
  }
  for (const auto& [key, count] : m_answers) {
    const ResultCodeRow& row = DescribeResultCode(key.m_code);
    out << "briarglade_answers_total{" << Labels(key.m_account, key.m_class)
        << ",outcome=\"" << OutcomeName(row.m_outcome) << "\",code=\""
        << key.m_code << "\"} " << count << "\n";
  }
  for (const auto& [name, count] : m_counters) {
    out << "briarglade_" << name << "_total " << count << "\n";
  }
  for (const auto& [name, value] : m_gauges) {
    out << "briarglade_" << name << " " << value << "\n";
  }
  return out.str();
}

} // namespace briarglade
