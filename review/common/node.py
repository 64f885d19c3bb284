"""A stock node as a process: serves each request at once, and writes a line for each to standard output."""

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from rig import answer, read_message


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            first, headers, body = await read_message(reader)
            request_id = headers.get("x-correlation-id", "-")
            print(request_id, first, f"body={len(body)}", flush=True)
            writer.write(answer(request_id.encode()))
    writer.close()


async def main() -> None:
    listener = socket.socket()
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10
    )  # what the kernel takes in for a busy node
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener)
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
