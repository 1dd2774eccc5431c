"""Clients that send as much as they may, and stop short of the end: the instance has to stay within its memory.

One instance runs as a process with little memory in its settings. After a crowd of clients has sent what the case
says, the process must be alive, its peak of resident memory and its open descriptors must be under the bounds of the
settings, and one ordinary request must be answered while the crowd's connections are still open. Nothing that is
checked depends on the speed of the machine.

Prints one JSON line; the exit code is 1 when a check failed.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile

import stand_ins

# Settings of the instance under test. Without a crowd it needs about 10 MB.
MEMORY_MB = 40
DESCRIPTORS = 400
MAX_BODY_BYTES = 1 << 20
CLIENTS = 80
# One of this many clients sends its request to the end.
WHOLE_EACH = 8
MISSING_BYTES = 8
LARGE_ANSWER_BYTES = 1 << 20
# Longest time of a step; it only ends a run that hangs.
STEP_S = 60
HEAD = "POST /any/{} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: 8000\r\n"


class Service(stand_ins.Service):
    """A service whose answers to /any/large are long."""

    async def work(self, request, reader, writer):
        if request.path != "/any/large":
            await super().work(request, reader, writer)
            return
        writer.write(stand_ins.answer_bytes(200, b"x" * LARGE_ANSWER_BYTES, self.headers(request)))


def chunked(size, chunk_bytes):
    """Yields the pieces of a body in chunks, without its last chunk."""
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"b" * chunk_bytes + b"\r\n"
    chunks_per_piece = max(1, 65536 // len(chunk))
    for begin in range(0, size, chunk_bytes * chunks_per_piece):
        count = min(chunks_per_piece, (size - begin) // chunk_bytes)
        yield chunk * count


def with_length(size, piece_bytes):
    for begin in range(0, size, piece_bytes):
        yield b"b" * min(piece_bytes, size - begin)


class Crowd:
    def __init__(self, port):
        self.port = port
        self.writers, self.readers = [], []

    async def send(self, number, headers, pieces, is_read=True):
        """Sends a request; a connection that the instance closes or that it doesn't read from any more is left."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=4096 if not is_read else 65536)
        self.writers.append(writer)
        self.readers.append(reader)
        try:
            writer.write((HEAD.format(f"c{number}", f"crowd-{number}") + headers + "\r\n").encode())
            for piece in pieces:
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), 5)
        except (OSError, asyncio.TimeoutError):
            pass

    async def with_length(self, number, piece_bytes):
        size = MAX_BODY_BYTES - 64
        sent = size if number % WHOLE_EACH == 0 else size - MISSING_BYTES
        await self.send(number, f"Content-Length: {size}\r\n", with_length(sent, piece_bytes))

    async def chunked(self, number, size, chunk_bytes):
        pieces = list(chunked(size, chunk_bytes))
        if number % WHOLE_EACH == 0:
            pieces.append(b"0\r\n\r\n")
        await self.send(number, "Transfer-Encoding: chunked\r\n", pieces)

    async def unread(self, number):
        """Asks for a long answer and reads nothing of it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1)
        writer.transport.pause_reading()
        self.writers.append(writer)
        writer.write((f"GET /any/large HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: crowd-{number}\r\n"
                      "X-Deadline-Ms: 8000\r\n\r\n").encode())
        await writer.drain()

    async def endless_header(self, number):
        await self.send(number, "X-Long: ", with_length(64 << 10, 1 << 10))


CASES = {
    "whole bodies": lambda crowd, number: crowd.with_length(number, MAX_BODY_BYTES),
    "bodies in pieces": lambda crowd, number: crowd.with_length(number, 16 << 10),
    "large chunks": lambda crowd, number: crowd.chunked(number, MAX_BODY_BYTES - (64 << 10), 64 << 10),
    "chunks of one byte": lambda crowd, number: crowd.chunked(number, MAX_BODY_BYTES // 2, 1),
    "far over the limit, announced": lambda crowd, number: crowd.send(
        number, f"Content-Length: {900 << 20}\r\n", with_length(2 << 20, 64 << 10)),
    "far over the limit, sent": lambda crowd, number: crowd.send(
        number, "Transfer-Encoding: chunked\r\n", chunked(4 << 20, 64 << 10)),
    "headers without an end": lambda crowd, number: crowd.endless_header(number),
    "answers that nobody reads": lambda crowd, number: crowd.unread(number),
}


async def ask(port, attempt):
    """Sends one ordinary request and returns its status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = b"an ordinary request"
    writer.write((HEAD.format("ordinary", attempt) + f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
                  ).encode() + body)
    answer = await asyncio.wait_for(reader.read(), STEP_S)
    writer.close()
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.1 ") else 0


def peak_megabytes(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def run(options, directory):
    store = stand_ins.Store()
    await store.start()
    expiry = asyncio.get_running_loop().create_task(store.expire())
    record = stand_ins.Record()

    service = Service("room-0", "rooms", store, record, random.Random(options.seed))
    service.unframed = 0.0
    await service.start()
    await service.register()
    route = {"hostname": "desk.example", "target_latency_ms": 300, "timeout_ms": 8000, "name": "any",
             "path_prefix": "/any/", "type": "idempotent", "service": "rooms", "max_attempts": 2}
    await store.put("op/config", json.dumps({
        "version": 1, "routes": [route], "limits": {"max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 3000},
        "services": [{"name": "rooms", "max_connections": 400}]}).encode())
    port, ready_port, internal_port = [stand_ins.free_port() for _ in range(3)]
    settings = directory / "instance.conf"
    settings.write_text(
        f"node_name=edge-0\nzone=norte\nip=127.0.0.1\nlisten.frontend=127.0.0.1:{port}\n"
        f"listen.readiness=127.0.0.1:{ready_port}\ninternal_ports={internal_port},{internal_port}\n"
        f"platform.address=127.0.0.1:{store.port}\nbounds.grace_s=3\nbootstrap=true\n"
        f"limits.memory_mb={MEMORY_MB}\nlimits.file_descriptors={DESCRIPTORS}\n")
    with open(directory / "instance.log", "wb") as log:
        process = subprocess.Popen([options.program], stdout=log, stderr=log,
                                   env={"BAMBOOCHUTE_CONFIG": str(settings)})
    failures, after, peak, descriptors = [], 0, 0.0, 0
    try:
        for _ in range(200):
            await asyncio.sleep(0.1)
            try:
                if await ask(port, "first") == 200:
                    break
            except OSError:
                pass
        else:
            raise RuntimeError("the instance did not start")
        crowd = Crowd(port)
        await asyncio.wait_for(asyncio.gather(*(CASES[options.case](crowd, number) for number in range(CLIENTS))),
                               STEP_S)
        await asyncio.sleep(1)
        if process.poll() is None:
            after = await ask(port, "afterwards")
            peak = peak_megabytes(process)
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        if process.poll() is not None:
            failures.append(f"the process ended with {process.returncode}")
        if after != 200:
            failures.append(f"an ordinary request got {after}")
        if peak > MEMORY_MB:
            failures.append(f"{peak:.0f} MB of resident memory, of {MEMORY_MB}")
        if descriptors > DESCRIPTORS:
            failures.append(f"{descriptors} open descriptors, of {DESCRIPTORS}")
        for writer in crowd.writers:
            writer.close()
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        expiry.cancel()
        service.crash()
        store.crash()
    print(json.dumps({"case": options.case, "peak_mb": round(peak, 1), "descriptors": descriptors, "failures": failures}))
    return 1 if failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True)
    parser.add_argument("--case", required=True, choices=CASES)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(asyncio.run(run(options, pathlib.Path(directory))))


if __name__ == "__main__":
    main()
