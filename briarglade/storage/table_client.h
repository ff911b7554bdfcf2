// The table service over HTTP: JSON rows with RFC 9110 conditional requests.
//
//   GET    /v1/rows/KEY                 200 with ETag, or 404
//   GET    /v1/rows?prefix=P&since=N    200 with every row changed after N
//   PUT    /v1/rows/KEY                 If-Match or If-None-Match; 200 or 412
//   DELETE /v1/rows/KEY                 If-Match; 200 or 412
//
// Every write names itself in Table-Operation.

#pragma once

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"
#include "briarglade/storage/table.h"

namespace briarglade {

class HttpClient;

// Returns the binding to the table service at an address. The client must live
// longer than the binding. Each operation ends within the timeout.
TableService MakeHttpTableService(HttpClient& aClient,
                                  const Endpoint& aEndpoint,
                                  Millis aTimeout);

// Returns the binding to the host list at an address.
HostListService MakeHttpHostListService(HttpClient& aClient,
                                        const Endpoint& aEndpoint,
                                        Millis aTimeout);

} // namespace briarglade
