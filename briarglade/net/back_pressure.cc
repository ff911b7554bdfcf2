// Pausing and resuming.

#include "briarglade/net/back_pressure.h"

#include "briarglade/net/http_call.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade {

void PauseForReader(HttpExchange& aCaller,
                    const std::shared_ptr<HttpCall>& aCall,
                    size_t aMaxBytes)
{
  if (aCaller.UnsentBytes() > aMaxBytes) {
    aCall->PauseReading();
    aCaller.OnDrained([aCall] { aCall->ResumeReading(); });
  }
}

} // namespace briarglade
