// Settings from the command line and the environment: a flag goes before its
// environment variable, which goes before the default.
//
// Example:
//   Options options(docopt::docopt(...));
//   Result<Endpoint> address = options.GetEndpoint("--table");

#pragma once

#include <docopt/docopt.h>
#include <map>
#include <string>
#include <vector>

#include "briarglade/base/millis.h"
#include "briarglade/base/parse_endpoint.h"
#include "briarglade/base/result.h"

namespace briarglade {

class Options
{
public:
  explicit Options(std::map<std::string, docopt::value> aArguments);

  // Whether a subcommand or a flag without value is given.
  bool Has(const std::string& aName) const;
  // Returns the value of a flag, of its variable (--table-address:
  // BRIARGLADE_TABLE_ADDRESS), or the fallback.
  std::string GetText(const std::string& aFlag,
                      const std::string& aFallback = "") const;
  // Returns every value of a flag that may be repeated; the variable holds them
  // joined by commas.
  std::vector<std::string> GetList(const std::string& aFlag) const;
  // Returns the value as IP:PORT.
  Result<Endpoint> GetEndpoint(const std::string& aFlag,
                               const std::string& aFallback = "") const;
  // Returns the value as a whole number of milliseconds.
  Result<Millis> GetMillis(const std::string& aFlag, Millis aFallback) const;
  // Returns a required text.
  Result<std::string> GetRequired(const std::string& aFlag) const;
  // Returns a secret: the content of the file that the flag names, or the
  // variable. Secrets have no flag of their own.
  Result<std::string> GetSecret(const std::string& aFileFlag,
                                const std::string& aVariable) const;
  // Returns a positional argument.
  std::string GetArgument(const std::string& aName) const;

private:
  std::map<std::string, docopt::value> m_arguments;
};

// Returns the content of a file.
Result<std::string> ReadFile(const std::string& aPath);

} // namespace briarglade
