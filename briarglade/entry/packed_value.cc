// Compression of row values with zlib.

#include "briarglade/entry/packed_value.h"

#include <utility>
#include <zlib.h>

namespace briarglade {

namespace {

// A smaller value fits in a few packets as it is.
constexpr size_t kMinValueBytes = 4'096;

} // namespace

std::shared_ptr<const std::string> PackValue(const std::string& aValue)
{
  if (aValue.size() < kMinValueBytes || aValue.size() > kMaxPackedValueBytes) {
    return nullptr;
  }
  uLongf size = compressBound(aValue.size());
  std::string packed(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(packed.data()),
                               &size,
                               reinterpret_cast<const Bytef*>(aValue.data()),
                               aValue.size(),
                               Z_BEST_SPEED);
  if (result != Z_OK || size >= aValue.size()) {
    return nullptr;
  }
  packed.resize(size);
  packed.shrink_to_fit();
  return std::make_shared<const std::string>(std::move(packed));
}

std::optional<std::string> UnpackValue(std::string_view aPacked, size_t aSize)
{
  if (aSize > kMaxPackedValueBytes) {
    return std::nullopt;
  }
  std::string value(aSize, '\0');
  uLongf size = aSize;
  const int result = uncompress(reinterpret_cast<Bytef*>(value.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(aPacked.data()),
                                aPacked.size());
  return result == Z_OK && size == aSize
           ? std::optional<std::string>(std::move(value))
           : std::nullopt;
}

} // namespace briarglade
