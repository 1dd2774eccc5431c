"""Clients that send as much as they may and stop short of the end, and what they make a process hold."""

import asyncio
import os
import pathlib

MISSING_BYTES = 8
# One of this many clients sends its request to the end.
WHOLE_EACH = 8
# Longest time of a step; it only ends a run that hangs.
STEP_S = 60
# Time for which a client waits until more of its request is taken.
SEND_S = 5
SAMPLE_S = 0.05
# Attempts at a request in calm. The process may notice late that the crowd has gone.
CALM_ATTEMPTS = 20
LISTENING = "0A"


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
    """Connections to one listener that stay open.

    head is the begin of a request for a longer body, with a place for a number.
    """

    def __init__(self, port, head, max_body_bytes):
        self.port, self.head, self.max_body_bytes = port, head, max_body_bytes
        self.writers, self.readers = [], []

    async def connect(self, limit=65536):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=limit)
        self.writers.append(writer)
        self.readers.append(reader)
        return writer

    async def write(self, writer, pieces):
        """Writes pieces, until the process closes the connection or doesn't read from it any more."""
        try:
            for piece in pieces:
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), SEND_S)
        except (OSError, asyncio.TimeoutError):
            pass

    async def send(self, number, headers, pieces):
        try:
            writer = await self.connect()
        except OSError:
            return
        await self.write(writer, [(self.head.format(number) + headers + "\r\n").encode(), *pieces])

    async def with_length(self, number, piece_bytes, size=None):
        size = self.max_body_bytes - 64 if size is None else size
        sent = size if number % WHOLE_EACH == 0 else size - MISSING_BYTES
        await self.send(number, f"Content-Length: {size}\r\n", with_length(sent, piece_bytes))

    async def chunked(self, number, size, chunk_bytes):
        pieces = list(chunked(size, chunk_bytes))
        if number % WHOLE_EACH == 0:
            pieces.append(b"0\r\n\r\n")
        await self.send(number, "Transfer-Encoding: chunked\r\n", pieces)

    async def unread(self, number, request, pieces=()):
        """Sends a request and what follows it, and reads nothing of the answer."""
        try:
            writer = await self.connect(limit=1)
        except OSError:
            return
        writer.transport.pause_reading()
        await self.write(writer, [request.format(number).encode(), *pieces])

    async def unread_in_a_row(self, number, request, count):
        """Sends a request many times without a pause, and reads nothing of the answers."""
        await self.unread(number, request, [request.format(f"{number}-{each}").encode() for each in range(count)])

    async def whole_in_turn(self, count):
        """Sends whole bodies, each on a connection of its own once the one before is answered, and keeps them open."""
        for number in range(count):
            await self.send(number, f"Content-Length: {self.max_body_bytes - 64}\r\n",
                            with_length(self.max_body_bytes - 64, 64 << 10))
            await asyncio.wait_for(self.readers[-1].read(1), STEP_S)

    async def without_request(self, _):
        try:
            await self.connect()
        except OSError:
            pass

    def close(self):
        for writer in self.writers:
            writer.transport.abort()


# What each client of a crowd sends.
SHAPES = {
    "whole bodies": lambda crowd, number: crowd.with_length(number, crowd.max_body_bytes),
    "bodies in pieces": lambda crowd, number: crowd.with_length(number, 16 << 10),
    "large chunks": lambda crowd, number: crowd.chunked(number, crowd.max_body_bytes - (64 << 10), 64 << 10),
    "chunks of one byte": lambda crowd, number: crowd.chunked(number, crowd.max_body_bytes // 2, 1),
    "far over the limit, announced": lambda crowd, number: crowd.send(
        number, f"Content-Length: {900 << 20}\r\n", with_length(2 * crowd.max_body_bytes, 64 << 10)),
    "far over the limit, sent": lambda crowd, number: crowd.send(
        number, "Transfer-Encoding: chunked\r\n", chunked(4 * crowd.max_body_bytes, 64 << 10)),
    "headers without an end": lambda crowd, number: crowd.send(number, "X-Long: ", with_length(64 << 10, 1 << 10)),
    "small bodies": lambda crowd, number: crowd.with_length(number, 16 << 10, 16300),
    "connections without a request": lambda crowd, number: crowd.without_request(number),
}


async def ask(port, head, body=b"an ordinary request"):
    """Sends one request and returns the status of its answer; 0 when there is none."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
        answer = await asyncio.wait_for(reader.read(), STEP_S)
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.1 ") else 0


async def ask_until(wanted, attempts, port, head, body=b"an ordinary request"):
    """Sends a request until it gets the wanted status, and returns the last status."""
    status = 0
    for _ in range(attempts):
        status = await ask(port, head, body)
        if status == wanted:
            break
        await asyncio.sleep(0.2)
    return status


class Footprint:
    """The memory and the descriptors of a process, sampled until it is closed.

    Bytes that were received and not read count, and those that a peer has not taken: the machine has them as well.
    """

    def __init__(self, process_id, ports):
        self.process_id, self.ports = process_id, {f"{port:04X}" for port in ports}
        self.held_mb, self.unread_mb, self.unsent_mb, self.descriptors = 0.0, 0.0, 0.0, 0
        self.task = asyncio.get_running_loop().create_task(self.sample_always())

    def close(self):
        self.task.cancel()

    async def sample_always(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self):
        try:
            unsent, unread = (size / (1 << 20) for size in self.queued_bytes())
            self.held_mb = max(self.held_mb, self.resident_mb("VmRSS:") + unread + unsent)
            self.unread_mb = max(self.unread_mb, unread)
            self.unsent_mb = max(self.unsent_mb, unsent)
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.process_id}/fd")))
        except (FileNotFoundError, ProcessLookupError):
            pass  # The process has ended, which is checked elsewhere.

    def peak_mb(self):
        return self.resident_mb("VmHWM:")

    def resident_mb(self, name):
        for line in pathlib.Path(f"/proc/{self.process_id}/status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024
        return 0.0

    def queued_bytes(self):
        """Bytes in the send and the receive queues of all sockets of the process, and of those it has not accepted yet."""
        sockets = set()
        for descriptor in os.listdir(f"/proc/{self.process_id}/fd"):
            try:
                target = os.readlink(f"/proc/{self.process_id}/fd/{descriptor}")
            except FileNotFoundError:
                continue
            if target.startswith("socket:["):
                sockets.add(target[8:-1])
        unsent, unread = 0, 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_own = fields[9] in sockets or (fields[9] == "0" and fields[1].split(":")[1] in self.ports)
            if is_own and fields[3] != LISTENING:
                queued = fields[4].split(":")
                unsent, unread = unsent + int(queued[0], 16), unread + int(queued[1], 16)
        return unsent, unread


async def run_crowd(crowd, shape, clients):
    await asyncio.wait_for(asyncio.gather(*(shape(crowd, number) for number in range(clients))), STEP_S)
    await asyncio.sleep(1)


def check_bounds(process, footprint, memory_mb, descriptors):
    """Returns what a process has done that it must not: to end, or to hold more than its bounds."""
    if process.poll() is not None:
        return [f"the process ended with {process.returncode}"]
    footprint.sample()
    failures = []
    peak = max(footprint.peak_mb(), footprint.held_mb)
    if peak > memory_mb:
        failures.append(f"{peak:.0f} MB held, {footprint.unread_mb:.0f} of them at most not read, "
                        f"{footprint.unsent_mb:.0f} not taken by peers, of {memory_mb}")
    if footprint.descriptors > descriptors:
        failures.append(f"{footprint.descriptors} open descriptors, of {descriptors}")
    return failures
