"""Reading and writing of HTTP messages on asyncio streams, for the soak. Strict enough to
tell a whole answer from a broken one."""

import asyncio
import socket
import struct


class Broken(Exception):
    """A message that ends early or can't be read."""


async def read_head(reader):
    """Returns the first line and the headers, names in lower case; None at an orderly end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("the head ends early") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken(repr(error)) from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, mark, value = line.partition(":")
        if not mark:
            raise Broken(f"no header: {line[:80]}")
        headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length, in chunks, or none."""
    try:
        if headers.get("transfer-encoding") == "chunked":
            return b"".join([part async for part in chunks(reader)])
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken(repr(error)) from error


async def chunks(reader):
    """Yields the parts of a body in chunks."""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


def message(first_line, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()),
             f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(writer):
    """Resets the connection instead of closing it in an orderly way."""
    if not writer.transport.is_closing():
        link = writer.get_extra_info("socket")
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
