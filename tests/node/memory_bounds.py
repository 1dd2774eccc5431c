"""Clients that send as much as they may, and stop short of the end: bamboochuted has to stay within its memory.

One entry instance runs beside stand-ins for the platform and the upstreams, with little memory and few descriptors.
After a crowd of clients has sent to one of its listeners what the case says, the process must be alive, its memory and
its open descriptors must have stayed under their bounds, and one ordinary request and one probe must be answered while
the crowd's connections are still open. Once they are closed, a request of the largest size is answered. Nothing that is
checked depends on the speed of the machine.

Prints one JSON line; the exit code is 1 when a check failed.
"""

import argparse
import asyncio
import json
import os
import pathlib
import resource
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "scripts")]

import crowd as crowds
import fleet

# Settings of the instance under test. Without a crowd it needs about 20 MB.
MEMORY_MB = 96
DESCRIPTORS = 512
MAX_BODY_BYTES = 4 << 20
MAX_SUBMISSION_BYTES = 16 << 20
MAX_FRAME_BYTES = 256 << 10
CLIENTS = 60
# Nearly as many as the instance has descriptors, and more.
FRAME_CLIENTS = 450
MANY_CLIENTS = 600
HEAD = "POST /reservations/status HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: crowd-{0}\r\n"
PROBE = "GET /readyz HTTP/1.1\r\nHost: desk.example\r\n"
SUBMISSION = ("POST /admin/v1/configuration?expectedRevision=1&submissionId=crowd-{} HTTP/1.1\r\nHost: desk.example\r\n"
              f"Authorization: Bearer {fleet.OPERATOR_CREDENTIAL}\r\n")
LARGE_REQUEST = (f"GET /reservations/status?padding={4 << 20} HTTP/1.1\r\nHost: desk.example\r\n"
                 "X-Request-Id: crowd-{}\r\n\r\n")
MIDDLE_REQUEST = LARGE_REQUEST.replace(f"{4 << 20}", f"{30 << 10}")
METRICS = "GET /metrics?{} HTTP/1.1\r\nHost: x\r\n\r\n"
# Answers to this many requests are more than the kernel takes for a client that doesn't read.
REQUESTS_IN_A_ROW = 150
METRICS_IN_A_ROW = 1000
LISTENERS = ["listen", "adminListen", "peerListen"]


async def frame(crowd, _):
    """Announces the largest frame to the port for instances, and sends it but for its end; the key isn't known."""
    try:
        writer = await crowd.connect()
    except OSError:
        return
    size = MAX_FRAME_BYTES
    await crowd.write(writer, [b"BCC1" + bytes(16) + size.to_bytes(4, "big"), bytes(size - crowds.MISSING_BYTES)])


def unread(crowd, number):
    return crowd.unread(number, LARGE_REQUEST)


def unread_in_a_row(crowd, number):
    return crowd.unread_in_a_row(number, MIDDLE_REQUEST, REQUESTS_IN_A_ROW)


def unread_metrics(crowd, number):
    return crowd.unread_in_a_row(number, METRICS, METRICS_IN_A_ROW)


def whole_in_turn(crowd, _):
    return crowd.whole_in_turn(CLIENTS)


def all_at_once(crowd, number):
    shapes = list(crowds.SHAPES.values())
    return shapes[number % len(shapes)](crowd, number)


class Case:
    """What a crowd of clients sends, and to which of the listeners of the instance."""

    def __init__(self, shape, clients=CLIENTS, listener="listen", head=HEAD, max_body_bytes=MAX_BODY_BYTES):
        self.shape, self.clients, self.listener = shape, clients, listener
        self.head, self.max_body_bytes = head, max_body_bytes


CASES = {
    **{name: Case(crowds.SHAPES[name]) for name in [
        "whole bodies", "bodies in pieces", "large chunks", "chunks of one byte", "far over the limit, announced",
        "far over the limit, sent", "headers without an end"]},
    "many connections without a request": Case(crowds.SHAPES["connections without a request"], MANY_CLIENTS),
    "all at once": Case(all_at_once, MANY_CLIENTS),
    "answers that nobody reads": Case(unread),
    **{f"administration: {name}": Case(crowds.SHAPES[name], MANY_CLIENTS, "adminListen", "POST /x HTTP/1.1\r\nHost: x\r\n")
       for name in ["connections without a request", "headers without an end"]},
    "administration: bodies of probes": Case(crowds.SHAPES["whole bodies"], CLIENTS, "adminListen",
                                             "GET /healthz HTTP/1.1\r\nHost: x\r\n", MAX_SUBMISSION_BYTES),
    "administration: submissions": Case(crowds.SHAPES["whole bodies"], CLIENTS, "adminListen", SUBMISSION,
                                        MAX_SUBMISSION_BYTES),
    "administration: bodies of probes in turn": Case(whole_in_turn, 1, "adminListen",
                                                     "GET /healthz HTTP/1.1\r\nHost: x\r\n", MAX_SUBMISSION_BYTES),
    "administration: answers that nobody reads": Case(unread_metrics, MANY_CLIENTS, "adminListen"),
    "small answers that nobody reads": Case(unread_in_a_row, MANY_CLIENTS),
    "whole bodies in turn": Case(whole_in_turn, 1),
    "instances: frames": Case(frame, FRAME_CLIENTS, "peerListen"),
    "instances: connections without a request": Case(crowds.SHAPES["connections without a request"], MANY_CLIENTS,
                                                     "peerListen"),
}


def port_of(address):
    return int(address.rsplit(":", 1)[1])


async def run(case, process):
    ports = {name: port_of(process.bound[name]) for name in LISTENERS}
    footprint = crowds.Footprint(process.child.pid, ports.values())
    crowd = crowds.Crowd(ports[case.listener], case.head, case.max_body_bytes)
    ordinary = HEAD.format("ordinary")
    if await crowds.ask_until(200, crowds.CALM_ATTEMPTS, ports["listen"], ordinary) != 200:
        raise RuntimeError("the instance does not answer")
    await crowds.run_crowd(crowd, case.shape, case.clients)
    after = await crowds.ask(ports["listen"], ordinary)
    probe = await crowds.ask(ports["adminListen"], PROBE, b"")
    crowd.close()
    calm = await crowds.ask_until(200, crowds.CALM_ATTEMPTS, ports["listen"], HEAD.format("calm"),
                                  b"b" * (MAX_BODY_BYTES - 64))
    failures = crowds.check_bounds(process.child, footprint, MEMORY_MB, DESCRIPTORS)
    failures += [f"{name} got {status}" for name, status in
                 [("an ordinary request", after), ("a probe", probe), ("a large request in calm", calm)]
                 if status != 200]
    footprint.close()
    return {"held_mb": round(footprint.held_mb, 1), "unread_mb": round(footprint.unread_mb, 1), "unsent_mb": round(footprint.unsent_mb, 1),
            "descriptors": footprint.descriptors, "failures": failures}


def start_instance(running):
    """Starts an instance with the memory and the descriptors of the test."""
    os.environ["BAMBOOCHUTE_MEMORY_MB"] = str(MEMORY_MB)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    try:
        return running.start_instance("entry-01")
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2 * MANY_CLIENTS), hard))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True, help="directory of the programs")
    parser.add_argument("--case", required=True, choices=CASES)
    options = parser.parse_args()
    with fleet.Fleet(options.binaries, 0) as running:
        process = start_instance(running)
        submitted = running.submit_example()
        if submitted.returncode != 0 or not running.wait_until_ready():
            raise RuntimeError(f"the instance did not start: {submitted.stderr}")
        result = asyncio.run(run(CASES[options.case], process))
    print(json.dumps({"case": options.case, **result}))
    sys.exit(1 if result["failures"] else 0)


if __name__ == "__main__":
    main()
