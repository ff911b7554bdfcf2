// What one role of the stand-in program gives to main(): the ports that it
// prints, and the calls that its administrator may make.

#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include <docopt/docopt.h>

#include "briarglade/base/millis.h"

namespace briarglade::standin {

using Arguments = std::map<std::string, docopt::value>;

// Handles an administrator's call; returns the answer.
using Administer = std::function<nlohmann::json(const std::string& aPath,
                                                const nlohmann::json& aCall)>;

// One role: keeps its servers alive and answers its administrator.
struct Role
{
  nlohmann::json m_ports = nlohmann::json::object();
  Administer m_administer;
};

// Returns a numeric flag.
inline uint32_t Number(const Arguments& aArguments, const std::string& aFlag)
{
  return static_cast<uint32_t>(aArguments.at(aFlag).asLong());
}

// Returns a flag in milliseconds.
inline Millis Time(const Arguments& aArguments, const std::string& aFlag)
{
  return Millis(aArguments.at(aFlag).asLong());
}

} // namespace briarglade::standin
