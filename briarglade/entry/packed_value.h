// Compresses large values of rows for transfer between nodes. A relay sends a
// configuration to every node that reports to it: uncompressed, one of 300 KB
// to 26 nodes takes a link of 14 Mbit/s 4.5 s.
//
// Example:
//   const std::shared_ptr<const std::string> packed = PackValue(value);
//   const std::optional<std::string> read = UnpackValue(*packed, value.size());

#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace briarglade {

// The largest value that is compressed, and that UnpackValue() returns.
constexpr size_t kMaxPackedValueBytes = 16 * 1024 * 1024;

// Returns a compressed value, or nullptr if it is too small or too large for
// that or would not become smaller.
std::shared_ptr<const std::string> PackValue(const std::string& aValue);

// Returns the value of a size that was compressed, or nothing if the bytes are
// not such a value.
std::optional<std::string> UnpackValue(std::string_view aPacked, size_t aSize);

} // namespace briarglade
