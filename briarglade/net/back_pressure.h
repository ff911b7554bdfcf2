// Back pressure from a slow reader to the server whose answer it reads.
//
// Example:
//   caller->Write(data);
//   PauseForReader(*caller, call, budget->PauseBytes());

#pragma once

#include <cstddef>
#include <memory>

namespace briarglade {

class HttpCall;
class HttpExchange;

// Stops reading the call's answer if the caller has more than so many bytes of
// it still to take, and goes on once it has taken all.
void PauseForReader(HttpExchange& aCaller,
                    const std::shared_ptr<HttpCall>& aCall,
                    size_t aMaxBytes);

} // namespace briarglade
