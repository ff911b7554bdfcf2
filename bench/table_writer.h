// Prints a measurement as an aligned table, and as CSV if a file is named.

#pragma once

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace briarglade::bench {

class TableWriter
{
public:
  explicit TableWriter(std::vector<std::string> aHeads)
  {
    m_rows.push_back(std::move(aHeads));
  }

  void Add(std::vector<std::string> aCells)
  {
    m_rows.push_back(std::move(aCells));
  }

  // Prints the table, and writes it to the file if its name isn't empty.
  // Returns false if the file can't be written.
  bool Write(const std::string& aCsvFile) const
  {
    Print();
    if (aCsvFile.empty()) {
      return true;
    }
    std::FILE* file = std::fopen(aCsvFile.c_str(), "w");
    if (file == nullptr) {
      return false;
    }
    for (const auto& row : m_rows) {
      for (size_t i = 0; i < row.size(); ++i) {
        std::fprintf(file, "%s%s", i == 0 ? "" : ",", row[i].c_str());
      }
      std::fprintf(file, "\n");
    }
    return std::fclose(file) == 0;
  }

private:
  void Print() const
  {
    std::vector<size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
      for (size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
      }
    }
    for (const auto& row : m_rows) {
      for (size_t i = 0; i < row.size(); ++i) {
        std::printf("%-*s  ", static_cast<int>(widths[i]), row[i].c_str());
      }
      std::printf("\n");
    }
  }

  std::vector<std::vector<std::string>> m_rows;
};

// Returns the file named by "--csv FILE", or an empty string.
inline std::string CsvFile(int aCount, char** aArguments)
{
  for (int i = 1; i + 1 < aCount; ++i) {
    if (std::string(aArguments[i]) == "--csv") {
      return aArguments[i + 1];
    }
  }
  return "";
}

// Returns a number with so many digits after the point.
inline std::string Number(double aValue, int aDigits = 0)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.*f", aDigits, aValue);
  return text;
}

// Returns a quantile of the values, or zero if there are none.
inline double Quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank =
    static_cast<size_t>(aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<long>(rank), aValues.end());
  return aValues[rank];
}

} // namespace briarglade::bench
