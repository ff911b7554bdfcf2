"""A small TCP relay: a link between two processes that can be cut and mended."""

import selectors
import socket
import threading


class Link:
    """Relays connections from its own port to another one of this machine."""

    def __init__(self, port):
        self.target = port
        self.is_cut = False
        self._pairs = {}
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(256)
        self.port = self._listener.getsockname()[1]
        self._selector.register(self._listener, selectors.EVENT_READ)
        threading.Thread(target=self._run, daemon=True).start()

    def cut(self):
        """Breaks every connection and refuses new ones."""
        with self._lock:
            self.is_cut = True
            for end in list(self._pairs):
                self._close(end)

    def mend(self):
        with self._lock:
            self.is_cut = False

    def _run(self):
        while True:
            for key, _ in self._selector.select(0.5):
                with self._lock:
                    if key.fileobj is self._listener:
                        self._accept()
                    elif key.fileobj in self._pairs:
                        self._pass_on(key.fileobj)

    def _accept(self):
        near, _ = self._listener.accept()
        if self.is_cut:
            near.close()
            return
        far = socket.create_connection(("127.0.0.1", self.target))
        for end, other in ((near, far), (far, near)):
            self._pairs[end] = other
            self._selector.register(end, selectors.EVENT_READ)

    def _pass_on(self, end):
        try:
            data = end.recv(65536)
            if data:
                self._pairs[end].sendall(data)
                return
        except OSError:
            pass
        self._close(end)

    def _close(self, end):
        other = self._pairs.pop(end, None)
        if other is None:
            return
        self._pairs.pop(other, None)
        for side in (end, other):
            self._selector.unregister(side)
            side.close()
