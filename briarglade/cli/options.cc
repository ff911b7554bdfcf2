// Flags, variables and defaults.

#include "briarglade/cli/options.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace briarglade {

namespace {

std::string VariableOf(const std::string& aFlag)
{
  std::string name = "BRIARGLADE_";
  for (const char letter : aFlag.substr(2)) {
    name += letter == '-' ? '_' : static_cast<char>(toupper(letter));
  }
  return name;
}

Error Invalid(const std::string& aFlag, const std::string& aProblem)
{
  return Error{ ResultCode::MalformedRequest,
                aFlag + " (" + VariableOf(aFlag) + "): " + aProblem };
}

std::string StripNewline(std::string aText)
{
  while (!aText.empty() && (aText.back() == '\n' || aText.back() == '\r')) {
    aText.pop_back();
  }
  return aText;
}

// Returns the number, or -1 if the text isn't a whole number.
int64_t ParseWhole(const std::string& aText)
{
  constexpr size_t kMaxDigits = 15;
  const bool digits =
    !aText.empty() && aText.size() <= kMaxDigits &&
    aText.find_first_not_of("0123456789") == std::string::npos;
  return digits ? std::strtoll(aText.c_str(), nullptr, 10) : -1;
}

} // namespace

Options::Options(std::map<std::string, docopt::value> aArguments)
  : m_arguments(std::move(aArguments))
{
}

bool Options::Has(const std::string& aName) const
{
  const auto found = m_arguments.find(aName);
  return found != m_arguments.end() && found->second.isBool() &&
         found->second.asBool();
}

std::string Options::GetArgument(const std::string& aName) const
{
  const auto found = m_arguments.find(aName);
  return found != m_arguments.end() && found->second.isString()
           ? found->second.asString()
           : std::string();
}

std::string Options::GetText(const std::string& aFlag,
                             const std::string& aFallback) const
{
  std::string flag = GetArgument(aFlag);
  if (!flag.empty()) {
    return flag;
  }
  const char* variable = std::getenv(VariableOf(aFlag).c_str());
  return variable != nullptr ? std::string(variable) : aFallback;
}

std::vector<std::string> Options::GetList(const std::string& aFlag) const
{
  const auto found = m_arguments.find(aFlag);
  if (found != m_arguments.end() && found->second.isStringList() &&
      !found->second.asStringList().empty()) {
    return found->second.asStringList();
  }
  std::vector<std::string> values;
  std::istringstream variable(GetText(aFlag));
  for (std::string value; std::getline(variable, value, ',');) {
    values.push_back(value);
  }
  return values;
}

Result<std::string> Options::GetRequired(const std::string& aFlag) const
{
  std::string text = GetText(aFlag);
  if (text.empty()) {
    return Invalid(aFlag, "is required");
  }
  return text;
}

Result<Endpoint> Options::GetEndpoint(const std::string& aFlag,
                                      const std::string& aFallback) const
{
  const std::string text = GetText(aFlag, aFallback);
  if (text.empty()) {
    return Invalid(aFlag, "is required, as IP:PORT");
  }
  Result<Endpoint> endpoint = ParseEndpoint(text);
  if (const Error* error = GetError(endpoint)) {
    return Invalid(aFlag, error->m_detail);
  }
  return endpoint;
}

Result<Millis> Options::GetMillis(const std::string& aFlag,
                                  Millis aFallback) const
{
  const std::string text = GetText(aFlag);
  if (text.empty()) {
    return aFallback;
  }
  const int64_t count = ParseWhole(text);
  if (count <= 0) {
    return Invalid(aFlag, "must be a whole number of milliseconds above 0");
  }
  return Millis(count);
}

Result<std::string> Options::GetSecret(const std::string& aFileFlag,
                                       const std::string& aVariable) const
{
  const std::string path = GetText(aFileFlag);
  const char* variable = std::getenv(aVariable.c_str());
  std::string secret;
  if (!path.empty()) {
    Result<std::string> content = ReadFile(path);
    if (const Error* error = GetError(content)) {
      return Invalid(aFileFlag, error->m_detail);
    }
    secret = StripNewline(std::get<std::string>(content));
  } else if (variable != nullptr) {
    secret = variable;
  }
  if (secret.empty()) {
    return Invalid(aFileFlag, "or " + aVariable + " must give the secret");
  }
  return secret;
}

Result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file.good()) {
    return Error{ ResultCode::MalformedRequest, "cannot read " + aPath };
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

} // namespace briarglade
