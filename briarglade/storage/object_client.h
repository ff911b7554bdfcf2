// The object store over HTTP.
//
//   GET    /v1/objects/NAME    200, or 404
//   PUT    /v1/objects/NAME    200
//   DELETE /v1/objects/NAME    200 or 404

#pragma once

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"
#include "briarglade/storage/object_store.h"

namespace briarglade {

class HttpClient;

// Returns the binding to the object store at an address. The client must live
// longer than the binding. Each operation ends within the timeout.
ObjectStoreService MakeHttpObjectStore(HttpClient& aClient,
                                       const Endpoint& aEndpoint,
                                       Millis aTimeout);

} // namespace briarglade
