"""What callers sent and were told, and what servers ran, held against each other."""

import hashlib
import time

# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Request:
    """One request of a caller, by its attempt id."""

    def __init__(self, attempt, kind, body, may_repeat):
        self.attempt = attempt
        self.kind = kind
        self.digest = hashlib.sha256(body).hexdigest()
        self.may_repeat = may_repeat
        self.sent_at = time.monotonic()
        self.status = None
        self.problem = None
        self.runs = []


class Ledger:
    """Every request of a run."""

    def __init__(self):
        self.requests = {}
        self.unasked = []
        self.troubles = {}

    def sent(self, request):
        self.requests[request.attempt] = request

    def ran(self, attempt, server, digest):
        """A server begins to work on a request."""
        request = self.requests.get(attempt)
        if request is None or request.digest != digest:
            self.unasked.append((attempt, server))
            return
        request.runs.append((time.monotonic() - request.sent_at, server))

    def count(self, trouble):
        self.troubles[trouble] = self.troubles.get(trouble, 0) + 1

    def violations(self):
        """Returns (rule, request) for each rule that was broken."""
        found = [("UNASKED", None)] * len(self.unasked)
        for request in self.requests.values():
            once = not request.may_repeat()
            if once and len(request.runs) > 1:
                found.append(("TWICE", request))
            if once and request.status in PROMISES and request.runs:
                found.append(("REFUSED", request))
            if request.problem:
                found.append((request.problem, request))
        return found
