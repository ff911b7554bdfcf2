// Puts the pages of a read of a whole feed together. The store makes each page
// at a moment of its own; changes that it accepts in between come with the next
// watch call, which asks for those after the first page.
//
// Example:
//   if (const auto from = read.Add(page)) { ReadPage(*from); }
//   else { Deliver(read.TakeAnswer()); }

#pragma once

#include <optional>
#include <string>
#include <utility>

#include "briarglade/entry/store_feed.h"

namespace briarglade {

// One answer of the store, which may lack rows at its end.
struct FeedPage
{
  FeedAnswered m_answer;
  bool m_isTruncated = false;
};

class PagedRead
{
public:
  explicit PagedRead(Feed aFeed);

  // Adds a page. Returns the key from which to read the next one; nothing if
  // the read has ended, with the last page or because a page can't be used.
  std::optional<std::string> Add(FeedPage aPage);
  // Returns the read, once it has ended. Its version and time are those of the
  // first page: rows of later pages may be newer.
  FeedAnswered TakeAnswer() { return std::move(m_answer); }

private:
  FeedAnswered m_answer;
  bool m_hasPages = false;
  // The key of the last row, if there are more pages.
  std::string m_lastKey;
};

// Returns the changes that a watch call has brought. Of an answer that lacks
// rows at its end, they are known up to before its last version, of which some
// rows may be missing; if it holds no other version, all must be read again.
FeedAnswered TakeChanges(FeedPage aPage);

} // namespace briarglade
