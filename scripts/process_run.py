"""Kills, pauses and restarts entry instances under load, and checks what callers and upstreams observed.

Prints counts, failed checks and one JSON line; the exit code is 1 when a check failed.
"""

import argparse
import json
import pathlib
import random
import signal
import sys
import threading
import time

import fleet

MODELS = ["guest-chat@3", "guest-arrival@3", "lease-terms@3", "visa-letters@3", "complaints@2",
          "housing-search@3", "speech-notes@3", "forms-reader@3", "guest-translate@3"]
ADAPTERS = ["guest-chat-puce", "guest-chat-usfq", "lease-terms-epn", "housing-rules-uta"]
CALLER_THREADS = 16
DEADLINE_MS = 15000
DEADLINE_SLACK_S = 0.5
MAX_PAUSE_S = 3.0
MAX_ENGINE_PAUSE_S = 5.0
CONNECTION_ERRORS = (ConnectionError, TimeoutError, OSError)


class CallerRecord:
    """What the callers observed; its functions may be called from any thread."""

    def __init__(self):
        self.lock = threading.Lock()
        self.counts = {}
        self.problems = []
        self.outcomes = {}

    def count(self, name):
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def add_problem(self, text):
        with self.lock:
            self.problems.append(text)

    def add_outcome(self, key, outcome):
        with self.lock:
            self.outcomes.setdefault(key, []).append(outcome)


def error_code(answer):
    try:
        return answer.json()["error"]["code"]
    except (KeyError, TypeError, json.JSONDecodeError):
        return f"status_{answer.status}"


class Caller(threading.Thread):
    """A thread that sends requests to ready instances and checks each response."""

    def __init__(self, running, record, seed, stop_event):
        super().__init__(daemon=True)
        self.running, self.record, self.stop_event = running, record, stop_event
        self.random = random.Random(seed)
        self.name_prefix = f"caller-{seed}"
        self.request_number = 0

    def run(self):
        while not self.stop_event.is_set():
            self.request_number += 1
            draw = self.random.random()
            if draw < 0.45:
                self.chat(self.random.choice(MODELS + ADAPTERS), False)
            elif draw < 0.75:
                self.chat(self.random.choice(MODELS + ADAPTERS), True)
            else:
                self.book_with_retries()
            time.sleep(0.01)

    def choose_address(self):
        """Chooses a random ready instance, as a load balancer would; returns None when there is none."""
        ready = self.running.ready_addresses()
        return self.random.choice(ready) if ready else None

    def chat(self, model, is_stream):
        address = self.choose_address()
        if address is None:
            return
        start = time.monotonic()
        headers = {"x-request-deadline-ms": str(DEADLINE_MS)}
        try:
            answer = fleet.chat(address, model, "hello " * 20, is_stream, headers,
                                DEADLINE_MS / 1000 + 10)
        except CONNECTION_ERRORS as error:
            self.record.count("connection lost")
            self.check_lost_connection(address, f"chat {model}: {error!r}")
            return
        except Exception as error:  # http.client raises its own errors for incomplete responses
            self.record.count("answer cut short")
            self.check_lost_connection(address, f"chat {model}: {error!r}")
            return
        seconds = time.monotonic() - start
        if seconds > DEADLINE_MS / 1000 + DEADLINE_SLACK_S \
                and not self.running.had_fault_since(address, start):
            self.record.add_problem(f"chat {model} was answered after {seconds:.1f} s, past its deadline")
        if answer.status == 200:
            self.check_success(model, is_stream, answer)
        else:
            self.record.count(f"refused {error_code(answer)}")

    def check_success(self, model, is_stream, answer):
        if not is_stream:
            answer.json()
            self.record.count("chat answered")
            return
        events = [line for line in answer.body.splitlines() if line.startswith("data: ")]
        if events and events[-1] == "data: [DONE]":
            self.record.count("stream answered")
        elif any('"error"' in line for line in events):
            self.record.count("stream ended with an error event")
        else:
            self.record.add_problem(f"stream of {model} ended without [DONE] and without an error event")

    def check_lost_connection(self, address, text):
        if not self.running.had_fault_since(address, time.monotonic() - DEADLINE_MS / 1000 - 12):
            self.record.add_problem("connection lost although no fault was injected into the instance: "
                                    f"{text}")

    def book_with_retries(self):
        key = f"{self.name_prefix}-{self.request_number}"
        for attempt in range(3):
            address = self.choose_address()
            if address is None:
                time.sleep(0.05)
                continue
            outcome = self.book_once(address, key)
            self.record.add_outcome(key, outcome)
            if outcome == "answered" and self.random.random() < 0.7:
                return

    def book_once(self, address, key):
        headers = {"Idempotency-Key": key, "x-request-deadline-ms": "8000"}
        try:
            answer = fleet.call(address, "POST", "/reservations/book", {"room": key}, headers, 20)
        except Exception as error:
            self.record.count("booking lost")
            self.check_lost_connection(address, f"booking: {error!r}")
            return "lost"
        if answer.status == 201:
            self.record.count("booking answered")
            return "answered"
        code = error_code(answer)
        self.record.count(f"booking {code}")
        run_state = answer.headers.get("x-bamboochute-run-state", "")
        return "not run" if run_state == "not-run" else code


class FaultRecordingFleet(fleet.Fleet):
    """A fleet that records when a fault was last injected into each instance, and which are not ready."""

    def __init__(self, *arguments, **options):
        self.last_fault_times = {}
        self.not_ready = set()
        super().__init__(*arguments, **options)

    def ready_addresses(self):
        return [process.bound["listen"] for name, process in list(self.instances.items())
                if name not in self.not_ready]

    def had_fault_since(self, address, since):
        return self.last_fault_times.get(address, 0) >= since

    def record_fault(self, name):
        self.last_fault_times[self.instances[name].bound["listen"]] = time.monotonic()


def kill_and_restart(running, name):
    running.not_ready.add(name)
    running.record_fault(name)
    running.instances[name].send(signal.SIGKILL)
    running.instances[name].wait(10)
    running.record_fault(name)
    time.sleep(1)
    start_and_wait_until_ready(running, name)


def pause_instance(running, name, seconds):
    process = running.instances[name]
    running.record_fault(name)
    process.send(signal.SIGSTOP)
    time.sleep(seconds)
    process.send(signal.SIGCONT)
    running.record_fault(name)


def pause_engine(running, rng):
    """Pauses a random engine for 2 s or more. An engine keeps its loaded models during a pause."""
    engine = rng.choice(running.engines)
    engine.send(signal.SIGSTOP)
    time.sleep(rng.uniform(2.0, MAX_ENGINE_PAUSE_S))
    engine.send(signal.SIGCONT)


def stop_and_restart(running, name, record):
    """Stops an instance with SIGTERM and starts it again.

    A graceful stop must not break any connection, so it is not recorded as a fault.
    """
    running.not_ready.add(name)
    process = running.instances[name]
    process.send(signal.SIGTERM)
    code = process.wait(40)
    if code != 0:
        record.add_problem(f"{name} stopped with exit code {code}")
    start_and_wait_until_ready(running, name)


def start_and_wait_until_ready(running, name):
    running.start_instance(name)
    end = time.monotonic() + fleet.START_TIMEOUT_S
    while time.monotonic() < end:
        if fleet.call(running.admin_address(name), "GET", "/readyz").status == 200:
            running.not_ready.discard(name)
            return
        time.sleep(0.05)


def check_upstream_stats(running, record):
    runs = {}
    for service in running.services:
        for key, count in fleet.call(service.address, "GET", "/fake/stats").json()["by_key"].items():
            runs[key] = runs.get(key, 0) + count
    for key, count in runs.items():
        if count > 1:
            record.add_problem(f"operation {key} ran {count} times")
    for key, outcomes in record.outcomes.items():
        if "answered" in outcomes and runs.get(key, 0) == 0:
            record.add_problem(f"operation {key} was answered and never ran")
        if outcomes and all(each == "not run" for each in outcomes) and runs.get(key, 0) != 0:
            record.add_problem(f"operation {key} ran although every response said that it did not run")
    for engine in running.engines:
        stats = fleet.call(engine.address, "GET", "/fake/stats").json()
        if stats["overcommitted"]:
            record.add_problem(f"{engine.name} was overcommitted {stats['overcommitted']} times")
        if stats["duplicate_loads"]:
            record.count("duplicate load orders")


def inject_random_faults(running, record, rng, end):
    names = sorted(running.instances)
    while time.monotonic() < end:
        name = rng.choice(names)
        kind = rng.choice(["kill", "pause", "stop", "key-value", "engine pause"])
        record.count(f"fault {kind}")
        if kind == "kill":
            kill_and_restart(running, name)
        elif kind == "pause":
            pause_instance(running, name, rng.uniform(0.5, MAX_PAUSE_S))
        elif kind == "stop":
            stop_and_restart(running, name, record)
        elif kind == "engine pause":
            pause_engine(running, rng)
        else:
            address = running.key_value.address
            faults = rng.choice([{"down": True}, {"delayMs": 300}, {"lostAnswerShare": 0.3}])
            fleet.call(address, "POST", "/fake/faults", faults)
            time.sleep(rng.uniform(1, 4))
            fleet.call(address, "POST", "/fake/faults", {})
        time.sleep(rng.uniform(0.2, 1.0))


def restart_all_in_turn(running, record):
    for name in sorted(running.instances):
        record.count("planned restart")
        stop_and_restart(running, name, record)


def run(arguments):
    record = CallerRecord()
    stop_event = threading.Event()
    rng = random.Random(arguments.seed)
    with FaultRecordingFleet(arguments.binaries, arguments.instances) as running:
        submission = running.submit_example()
        if submission.returncode != 0:
            record.add_problem(f"the configuration was not accepted: {submission.stderr}")
        callers = [Caller(running, record, arguments.seed * 1000 + number, stop_event)
                   for number in range(CALLER_THREADS)]
        for caller in callers:
            caller.start()
        if arguments.rolling:
            restart_all_in_turn(running, record)
        else:
            inject_random_faults(running, record, rng, time.monotonic() + arguments.seconds)
        stop_event.set()
        for caller in callers:
            caller.join(60)
            if caller.is_alive():
                record.add_problem("a caller thread still ran 60 s after the end of the run")
        check_upstream_stats(running, record)
        for name, code in running.stop_instances().items():
            if code != 0:
                record.add_problem(f"{name} stopped with exit code {code}")
        if arguments.keep_logs:
            copy_logs(running, arguments.keep_logs)
    for name in sorted(record.counts):
        print(f"{name:<45} {record.counts[name]:>7}")
    for problem in record.problems[:20]:
        print(f"BROKEN: {problem}")
    figures = {"counts": record.counts, "problems": len(record.problems)}
    print(json.dumps({"experiment": "processes-rolling" if arguments.rolling else "processes",
                      "seed": arguments.seed, "figures": figures, "bounds": {"problems": 0},
                      "holds": not record.problems}))
    return 1 if record.problems else 0


def copy_logs(running, target):
    folder = pathlib.Path(target)
    folder.mkdir(parents=True, exist_ok=True)
    for log in pathlib.Path(running.directory.name).glob("*.log"):
        (folder / log.name).write_bytes(log.read_bytes())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build/release/bin")
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rolling", action="store_true",
                        help="restart all instances in turn; no connection may be lost")
    parser.add_argument("--keep-logs", default="", help="directory into which the logs are copied")
    return run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
