// The text that the stand-in engine answers with: a function of the prompt, so
// that the load tool can check every answer against its own request.

#pragma once

#include <cstdint>
#include <string>

namespace briarglade::standin {

// Returns the token at an index of the answer to a prompt, such as " k3f9a".
std::string CompletionToken(const std::string& aPrompt, uint32_t aIndex);

// Returns the first tokens of the answer to a prompt, joined.
std::string CompletionText(const std::string& aPrompt, uint32_t aTokens);

} // namespace briarglade::standin
