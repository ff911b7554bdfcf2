// Ordering and lookup of faults.

#include "briarglade/config/internal/fault_log.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace briarglade {

namespace {

bool IsInSection(const std::string& aKey, const std::string& aSection)
{
  return aKey.compare(0, aSection.size(), aSection) == 0 &&
         (aKey.size() == aSection.size() || aKey[aSection.size()] == '.');
}

} // namespace

FaultLog::FaultLog(std::vector<std::string> aFiles)
  : m_files(std::move(aFiles))
{
}

void FaultLog::Add(const Position& aPosition,
                   const std::string& aKey,
                   const std::string& aMessage)
{
  m_errors.push_back(
    FleetError{ aPosition.m_file, aPosition.m_line, aKey, aMessage });
}

void FaultLog::Remember(const std::string& aKey, const Position& aPosition)
{
  m_positions[aKey] = aPosition;
}

void FaultLog::AddAt(const std::string& aKey, const std::string& aMessage)
{
  std::string written = aKey;
  while (m_positions.count(written) == 0 &&
         written.find('.') != std::string::npos) {
    written.resize(written.rfind('.'));
  }
  const auto found = m_positions.find(written);
  const Position base{ m_files.front(), 0 };
  Add(found == m_positions.end() ? base : found->second, aKey, aMessage);
}

bool FaultLog::HasFaultIn(const std::string& aSection) const
{
  return std::any_of(
    m_errors.begin(), m_errors.end(), [&](const FleetError& aError) {
      return aError.m_key.empty() || IsInSection(aError.m_key, aSection);
    });
}

std::vector<FleetError> FaultLog::Sorted() const
{
  std::vector<FleetError> errors;
  std::set<std::tuple<std::string, int, std::string>> said;
  for (const FleetError& error : m_errors) {
    if (said.emplace(error.m_file, error.m_line, error.m_message).second) {
      errors.push_back(error);
    }
  }
  const auto place = [this](const FleetError& aError) {
    const auto file = std::find(m_files.begin(), m_files.end(), aError.m_file);
    return std::make_pair(file - m_files.begin(), aError.m_line);
  };
  std::stable_sort(errors.begin(),
                   errors.end(),
                   [&](const FleetError& aLeft, const FleetError& aRight) {
                     return place(aLeft) < place(aRight);
                   });
  return errors;
}

} // namespace briarglade
