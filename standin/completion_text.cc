// Tokens made by hashing the prompt with the token's index.

#include "standin/completion_text.h"

#include <xxhash.h>

namespace briarglade::standin {

std::string CompletionToken(const std::string& aPrompt, uint32_t aIndex)
{
  constexpr char kAlphabet[] = "abcdefghijklmnopqrstuvwxyz012345";
  constexpr int kLetters = 5;
  uint64_t bits = XXH3_64bits_withSeed(aPrompt.data(), aPrompt.size(), aIndex);
  std::string token = " ";
  for (int i = 0; i < kLetters; ++i) {
    token += kAlphabet[bits % 32];
    bits /= 32;
  }
  return token;
}

std::string CompletionText(const std::string& aPrompt, uint32_t aTokens)
{
  std::string text;
  for (uint32_t i = 0; i < aTokens; ++i) {
    text += CompletionToken(aPrompt, i);
  }
  return text;
}

} // namespace briarglade::standin
