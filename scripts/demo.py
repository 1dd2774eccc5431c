"""Sends requests through three entry instances and prints the result of each step."""

import json
import pathlib
import sys
import time

import fleet

GUEST_MODEL = "guest-chat@3"
COLD_MODEL = "visa-letters@3"
ADAPTER = "guest-chat-puce"
BOOKING = {"room": "quito-204", "guest": "visiting researcher", "nights": 3}
BOOKING_KEY = "demo-booking-0001"


class Report:
    """A table of the steps: name, whether the step passed, duration and details."""

    def __init__(self):
        self.rows = []

    def add(self, step, is_passed, seconds, detail):
        self.rows.append((step, "ok" if is_passed else "WRONG", f"{seconds * 1000:.0f} ms", detail))
        print(f"  {'ok   ' if is_passed else 'WRONG'} {step}", flush=True)

    def all_passed(self):
        return all(row[1] == "ok" for row in self.rows)

    def print(self):
        header = ("step", "result", "time", "what was seen")
        widths = [max(len(row[i]) for row in [header, *self.rows]) for i in range(4)]
        for row in [header, tuple("-" * width for width in widths), *self.rows]:
            print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())


def call_timed(action):
    start = time.monotonic()
    result = action()
    return result, time.monotonic() - start


def read_answer_text(answer):
    try:
        return answer.json()["choices"][0]["message"]["content"]
    except (KeyError, IndexError, json.JSONDecodeError):
        return ""


def run_plain_chat(running, report, step, instance, model):
    answer, seconds = call_timed(lambda: fleet.chat(running.caller_address(instance), model,
                                                    "When can I move in?"))
    text = read_answer_text(answer)
    detail = f"status {answer.status} from {instance}, {len(text.split())} words"
    if answer.status != 200:
        detail += f": {answer.body[:200]}"
    report.add(step, answer.status == 200 and bool(text), seconds, detail)


def run_streamed_chat(running, report, instance):
    answer, seconds = call_timed(lambda: fleet.chat(running.caller_address(instance), GUEST_MODEL,
                                                    "Where is my room?", stream=True))
    events = [line for line in answer.body.splitlines() if line.startswith("data: ")]
    is_complete = answer.status == 200 and bool(events) and events[-1] == "data: [DONE]"
    report.add("streamed chat answer", is_complete, seconds,
               f"status {answer.status} from {instance}, {len(events)} events, "
               f"{'whole' if is_complete else 'not whole'}")


def count_booking_runs(running):
    run_count = 0
    for service in running.services:
        stats = fleet.call(service.address, "GET", "/fake/stats").json()
        run_count += stats["runs"]
    return run_count


def book_room(running, report, step, instance):
    headers = {"Idempotency-Key": BOOKING_KEY}
    answer, seconds = call_timed(lambda: fleet.call(running.caller_address(instance), "POST",
                                                    "/reservations/book", BOOKING, headers))
    runs = count_booking_runs(running)
    is_replayed = answer.headers.get("Operation-Key-Replayed", "no")
    report.add(step, answer.status == 201 and runs == 1, seconds,
               f"status {answer.status} from {instance}, repeated answer: {is_replayed}, "
               f"runs at the services: {runs}")
    return answer


def stop_all_instances(running, report):
    exit_codes, seconds = call_timed(running.stop_instances)
    report.add("graceful stop of all instances", all(code == 0 for code in exit_codes.values()),
               seconds, ", ".join(f"{name} exit code {code}" for name, code in exit_codes.items()))


def check_engine_counts(running, report):
    totals = {"loads": 0, "duplicate_loads": 0, "overcommitted": 0}
    for engine in running.engines:
        stats = fleet.call(engine.address, "GET", "/fake/stats").json()
        for name in totals:
            totals[name] += stats[name]
    is_passed = totals["duplicate_loads"] == 0 and totals["overcommitted"] == 0
    report.add("engines' own counts", is_passed, 0,
               ", ".join(f"{name}: {value}" for name, value in totals.items()))


def run(binaries):
    report = Report()
    with fleet.Fleet(binaries, instance_count=3) as running:
        names = list(running.instances)
        submission, seconds = call_timed(running.submit_example)
        last_line = (submission.stdout.strip() or submission.stderr.strip()).splitlines()[-1:]
        report.add("submit the Instituto's configuration", submission.returncode == 0, seconds,
                   f"exit code {submission.returncode}: {' '.join(last_line)[:120]}")
        run_plain_chat(running, report, "chat answer", names[0], GUEST_MODEL)
        run_streamed_chat(running, report, names[1])
        run_plain_chat(running, report, "cold model", names[2], COLD_MODEL)
        run_plain_chat(running, report, "the same model, now loaded", names[0], COLD_MODEL)
        run_plain_chat(running, report, "adapter", names[1], ADAPTER)
        first = book_room(running, report, "room booking", names[0])
        second = book_room(running, report, "the same booking through another instance", names[2])
        report.add("both bookings have the same answer", first.body == second.body, 0,
                   first.body[:80])
        check_engine_counts(running, report)
        stop_all_instances(running, report)
    print()
    report.print()
    return 0 if report.all_passed() else 1


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(sys.argv[1])))
