// Names of feeds and store statuses for logs.

#include "briarglade/entry/store_feed.h"

namespace briarglade {

const char* FeedName(Feed aFeed)
{
  switch (aFeed) {
    case Feed::Operator:
      return "operator";
    case Feed::Servers:
      return "servers";
    case Feed::Own:
      return "own";
  }
  return "unknown";
}

const char* StoreStatusName(StoreStatus aStatus)
{
  switch (aStatus) {
    case StoreStatus::Ok:
      return "ok";
    case StoreStatus::Conflict:
      return "conflict";
    case StoreStatus::HistoryGone:
      return "history-gone";
    case StoreStatus::Refused:
      return "refused";
    case StoreStatus::Unknown:
      return "no-answer";
  }
  return "no-answer";
}

} // namespace briarglade
