// Decides when a node requests from other nodes the changes of the store that
// it lacks, and from which node. Handles a node that has lost updates, because
// it was unresponsive or its link was full, while changes of other feeds still
// arrive, and whose link takes long to transfer an answer.
//
// Example:
//   requests.OnVersions(now, sentAt, sender, update.m_completeUpTo, own);
//   if (const auto node = requests.Next(now, own)) { Request(*node); }

#pragma once

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/row_cache.h"

namespace briarglade {

// The versions up to which a node knows every change, by feed.
using FeedVersions = std::array<RowVersion, kFeedCount>;

// The requests of one node, at most one at a time.
class RowRequests
{
public:
  // Records that another node knows every change up to the versions, by a
  // message that was not sent before aSentAt. The versions stay known, but the
  // node may have ended since.
  void OnVersions(Millis aNow,
                  Millis aSentAt,
                  const NodeId& aNode,
                  const std::vector<RowVersion>& aTheirs,
                  const FeedVersions& aOwn);
  // Records that another node has sent the changes that this node requested.
  void OnAnswer(const NodeId& aNode);
  // Returns the node to request changes from now, if any. The caller must send
  // the request.
  std::optional<NodeId> Next(Millis aNow, const FeedVersions& aOwn);

  // Returns since when other nodes have been known to have changes of a feed
  // that this node lacks; nothing if it lacks none.
  std::optional<Millis> BehindSince(Feed aFeed, const FeedVersions& aOwn) const;

private:
  // A node that has changes that this node lacks.
  struct Source
  {
    Millis m_heardAt;
    // When changes were last requested from it; nothing: not yet.
    std::optional<Millis> m_askedAt;
  };

  bool IsDue(Millis aNow, const FeedVersions& aOwn) const;

  // The latest version of each feed that another node has, and since when this
  // node has lacked changes.
  FeedVersions m_latest;
  std::array<std::optional<Millis>, kFeedCount> m_behindSince;
  std::map<NodeId, Source> m_sources;
  // The node that has not answered yet.
  std::optional<NodeId> m_asked;
  Millis m_askedAt = Millis(-1'000'000);
};

} // namespace briarglade
