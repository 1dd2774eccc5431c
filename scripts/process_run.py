"""Kills, pauses and restarts entry instances under load, and checks what callers and stand-ins saw."""

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
LONGEST_PAUSE_S = 3.0
LONGEST_ENGINE_PAUSE_S = 5.0
RETRYABLE_KINDS = (ConnectionError, TimeoutError, OSError)


class Totals:
    """What callers saw; safe to use from all caller threads."""

    def __init__(self):
        self.lock = threading.Lock()
        self.counts = {}
        self.problems = []
        self.outcomes = {}

    def count(self, name):
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def problem(self, text):
        with self.lock:
            self.problems.append(text)

    def operation(self, key, outcome):
        with self.lock:
            self.outcomes.setdefault(key, []).append(outcome)


def error_code(answer):
    try:
        return answer.json()["error"]["code"]
    except (KeyError, TypeError, json.JSONDecodeError):
        return f"status_{answer.status}"


class Caller(threading.Thread):
    """Sends requests to instances that run, and checks each answer."""

    def __init__(self, running, totals, seed, is_over):
        super().__init__(daemon=True)
        self.running, self.totals, self.is_over = running, totals, is_over
        self.random = random.Random(seed)
        self.name_prefix = f"caller-{seed}"
        self.number = 0

    def run(self):
        while not self.is_over.is_set():
            self.number += 1
            kind = self.random.random()
            if kind < 0.45:
                self.chat(self.random.choice(MODELS + ADAPTERS), False)
            elif kind < 0.75:
                self.chat(self.random.choice(MODELS + ADAPTERS), True)
            else:
                self.book()
            time.sleep(0.01)

    def address(self):
        """The balancer's choice: an instance whose process runs and that is ready."""
        ready = self.running.ready_addresses()
        return self.random.choice(ready) if ready else None

    def chat(self, model, is_stream):
        address = self.address()
        if address is None:
            return
        start = time.monotonic()
        headers = {"x-request-deadline-ms": str(DEADLINE_MS)}
        try:
            answer = fleet.chat(address, model, "hello " * 20, is_stream, headers,
                                DEADLINE_MS / 1000 + 10)
        except RETRYABLE_KINDS as error:
            self.totals.count("connection lost")
            self.check_cut(address, f"chat {model}: {error!r}")
            return
        except Exception as error:  # an answer cut short is an error of the HTTP client
            self.totals.count("answer cut short")
            self.check_cut(address, f"chat {model}: {error!r}")
            return
        seconds = time.monotonic() - start
        if seconds > DEADLINE_MS / 1000 + DEADLINE_SLACK_S \
                and not self.running.was_disturbed(address, start):
            self.totals.problem(f"chat {model} was answered after {seconds:.1f} s")
        if answer.status == 200:
            self.check_whole(model, is_stream, answer)
        else:
            self.totals.count(f"refused {error_code(answer)}")

    def check_whole(self, model, is_stream, answer):
        if not is_stream:
            answer.json()
            self.totals.count("chat answered")
            return
        events = [line for line in answer.body.splitlines() if line.startswith("data: ")]
        if events and events[-1] == "data: [DONE]":
            self.totals.count("stream answered")
        elif any('"error"' in line for line in events):
            self.totals.count("stream ended with an error event")
        else:
            self.totals.problem(f"stream of {model} ended without its end and without an error")

    def check_cut(self, address, text):
        if not self.running.was_disturbed(address, time.monotonic() - DEADLINE_MS / 1000 - 12):
            self.totals.problem(f"cut though nothing happened to the instance: {text}")

    def book(self):
        key = f"{self.name_prefix}-{self.number}"
        for attempt in range(3):
            address = self.address()
            if address is None:
                time.sleep(0.05)
                continue
            outcome = self.book_once(address, key)
            self.totals.operation(key, outcome)
            if outcome == "answered" and self.random.random() < 0.7:
                return

    def book_once(self, address, key):
        headers = {"Idempotency-Key": key, "x-request-deadline-ms": "8000"}
        try:
            answer = fleet.call(address, "POST", "/reservations/book", {"room": key}, headers, 20)
        except Exception as error:
            self.totals.count("booking lost")
            self.check_cut(address, f"booking: {error!r}")
            return "lost"
        if answer.status == 201:
            self.totals.count("booking answered")
            return "answered"
        code = error_code(answer)
        self.totals.count(f"booking {code}")
        state = answer.headers.get("x-bamboochute-run-state", "")
        return "not run" if state == "not-run" else code


class DisturbedFleet(fleet.Fleet):
    """A fleet that knows which instances were killed, paused or stopped, and when."""

    def __init__(self, *arguments, **named):
        self.disturbed = {}
        self.unready = set()
        super().__init__(*arguments, **named)

    def ready_addresses(self):
        return [process.bound["listen"] for name, process in list(self.instances.items())
                if name not in self.unready]

    def was_disturbed(self, address, since):
        return self.disturbed.get(address, 0) >= since

    def disturb(self, name):
        self.disturbed[self.instances[name].bound["listen"]] = time.monotonic()


def kill_and_replace(running, name):
    running.unready.add(name)
    running.disturb(name)
    running.instances[name].send(signal.SIGKILL)
    running.instances[name].wait(10)
    running.disturb(name)
    time.sleep(1)
    replace(running, name)


def pause(running, name, seconds):
    process = running.instances[name]
    running.disturb(name)
    process.send(signal.SIGSTOP)
    time.sleep(seconds)
    process.send(signal.SIGCONT)
    running.disturb(name)


def pause_engine(running, chance):
    """An engine that is silent for a while still holds what it has loaded."""
    engine = chance.choice(running.engines)
    engine.send(signal.SIGSTOP)
    time.sleep(chance.uniform(2.0, LONGEST_ENGINE_PAUSE_S))
    engine.send(signal.SIGCONT)


def stop_and_replace(running, name, totals):
    """A planned stop cuts nothing: it is not recorded as a disturbance."""
    running.unready.add(name)
    process = running.instances[name]
    process.send(signal.SIGTERM)
    code = process.wait(40)
    if code != 0:
        totals.problem(f"{name} stopped with exit code {code}")
    replace(running, name)


def replace(running, name):
    running.start_instance(name)
    end = time.monotonic() + fleet.START_TIMEOUT_S
    while time.monotonic() < end:
        if fleet.call(running.admin_address(name), "GET", "/readyz").status == 200:
            running.unready.discard(name)
            return
        time.sleep(0.05)


def check_stand_ins(running, totals):
    runs = {}
    for service in running.services:
        for key, count in fleet.call(service.address, "GET", "/fake/stats").json()["by_key"].items():
            runs[key] = runs.get(key, 0) + count
    for key, count in runs.items():
        if count > 1:
            totals.problem(f"operation {key} ran {count} times")
    for key, outcomes in totals.outcomes.items():
        if "answered" in outcomes and runs.get(key, 0) == 0:
            totals.problem(f"operation {key} was answered and never ran")
        if outcomes and all(each == "not run" for each in outcomes) and runs.get(key, 0) != 0:
            totals.problem(f"operation {key} ran, and every answer said that it did not")
    for engine in running.engines:
        stats = fleet.call(engine.address, "GET", "/fake/stats").json()
        if stats["overcommitted"]:
            totals.problem(f"{engine.name} was overcommitted {stats['overcommitted']} times")
        if stats["duplicate_loads"]:
            totals.count("duplicate load orders")


def disturb_at_random(running, totals, chance, end):
    names = sorted(running.instances)
    while time.monotonic() < end:
        name = chance.choice(names)
        kind = chance.choice(["kill", "pause", "stop", "key-value", "engine pause"])
        totals.count(f"fault {kind}")
        if kind == "kill":
            kill_and_replace(running, name)
        elif kind == "pause":
            pause(running, name, chance.uniform(0.5, LONGEST_PAUSE_S))
        elif kind == "stop":
            stop_and_replace(running, name, totals)
        elif kind == "engine pause":
            pause_engine(running, chance)
        else:
            address = running.key_value.address
            faults = chance.choice([{"down": True}, {"delayMs": 300}, {"lostAnswerShare": 0.3}])
            fleet.call(address, "POST", "/fake/faults", faults)
            time.sleep(chance.uniform(1, 4))
            fleet.call(address, "POST", "/fake/faults", {})
        time.sleep(chance.uniform(0.2, 1.0))


def restart_in_turn(running, totals):
    for name in sorted(running.instances):
        totals.count("planned restart")
        stop_and_replace(running, name, totals)


def run(arguments):
    totals = Totals()
    is_over = threading.Event()
    chance = random.Random(arguments.seed)
    with DisturbedFleet(arguments.binaries, arguments.instances) as running:
        submitted = running.submit_example()
        if submitted.returncode != 0:
            totals.problem(f"submission failed: {submitted.stderr}")
        callers = [Caller(running, totals, arguments.seed * 1000 + number, is_over)
                   for number in range(CALLER_THREADS)]
        for caller in callers:
            caller.start()
        if arguments.rolling:
            restart_in_turn(running, totals)
        else:
            disturb_at_random(running, totals, chance, time.monotonic() + arguments.seconds)
        is_over.set()
        for caller in callers:
            caller.join(60)
            if caller.is_alive():
                totals.problem("a request was never answered")
        check_stand_ins(running, totals)
        for name, code in running.stop_instances().items():
            if code != 0:
                totals.problem(f"{name} stopped with exit code {code}")
        if arguments.keep_logs:
            keep_logs(running, arguments.keep_logs)
    for name in sorted(totals.counts):
        print(f"{name:<45} {totals.counts[name]:>7}")
    for problem in totals.problems[:20]:
        print(f"BROKEN: {problem}")
    figures = {"counts": totals.counts, "problems": len(totals.problems)}
    print(json.dumps({"experiment": "processes-rolling" if arguments.rolling else "processes",
                      "seed": arguments.seed, "figures": figures, "bounds": {"problems": 0},
                      "holds": not totals.problems}))
    return 1 if totals.problems else 0


def keep_logs(running, target):
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
                        help="restart all instances in turn and cut nothing")
    parser.add_argument("--keep-logs", default="", help="folder for the logs")
    return run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
