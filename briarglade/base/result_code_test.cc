// Holds the enum and docs/RESULT-CODES.md together.

#include "briarglade/base/result_code.h"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <string>

namespace briarglade {
namespace {

std::string ExpectedDocLine(const ResultCodeRow& aRow)
{
  std::ostringstream line;
  line << "| " << aRow.m_code << " | " << aRow.m_name << " | "
       << aRow.m_httpStatus << " | " << OutcomeName(aRow.m_outcome) << " | "
       << aRow.m_advice << " |";
  return line.str();
}

TEST_CASE("docs/RESULT-CODES.md lists exactly the rows of the table")
{
  std::ifstream file("docs/RESULT-CODES.md");
  REQUIRE(file.good());
  std::vector<std::string> documented;
  std::string line;
  while (std::getline(file, line)) {
    if (line.size() > 2 && line[0] == '|' && isdigit(line[2]) != 0) {
      documented.push_back(line);
    }
  }
  const std::vector<ResultCodeRow>& table = ResultCodeTable();
  REQUIRE(documented.size() == table.size());
  for (size_t i = 0; i < table.size(); ++i) {
    CHECK(documented[i] == ExpectedDocLine(table[i]));
  }
}

TEST_CASE("numbers ascend and each code finds its own row")
{
  const std::vector<ResultCodeRow>& table = ResultCodeTable();
  for (size_t i = 0; i < table.size(); ++i) {
    CHECK(&DescribeResultCode(table[i].m_code) == &table[i]);
    if (i > 0) {
      CHECK(table[i - 1].m_code < table[i].m_code);
    }
  }
}

TEST_CASE("a 2xx or 3xx refusal says not-run, except when the caller has left")
{
  for (const ResultCodeRow& row : ResultCodeTable()) {
    const auto number = static_cast<uint16_t>(row.m_code);
    if (number < 200 || number >= 400 || row.m_code == ResultCode::CallerGone) {
      continue;
    }
    CHECK(row.m_outcome == Outcome::NotRun);
  }
}

} // namespace
} // namespace briarglade
