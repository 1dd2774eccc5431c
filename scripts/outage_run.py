"""Stops the key-value service under running instances and checks which requests still work.

Prints one JSON line; the exit code is 1 when a bound does not hold.
"""

import argparse
import json
import sys
import time

import fleet

LOADED_MODEL = "guest-chat@3"
COLD_MODELS = ["visa-letters@3", "speech-notes@3", "complaints@3", "forms-reader@3"]
NEW_INSTANCE = "entry-99"
MAX_READY_S = 4.0
INSTANCE_COUNT = 12
DEADLINE_HEADERS = {"x-request-deadline-ms": "10000"}


def set_outage(running, is_down):
    fleet.call(running.key_value.address, "POST", "/fake/faults", {"down": is_down})


def measure_answered_share(running, models, count):
    """Sends count chat requests to the instances and models in turn; returns the share answered with 200."""
    names = sorted(running.instances)
    answered_count = 0
    for number in range(count):
        address = running.caller_address(names[number % len(names)])
        answer = fleet.chat(address, models[number % len(models)], "hello",
                            headers=DEADLINE_HEADERS)
        answered_count += answer.status == 200
    return answered_count / count


def is_refused_as_not_run(running):
    """Returns whether a booking is refused as not run, and no service ran it."""
    headers = {"Idempotency-Key": "outage-1", **DEADLINE_HEADERS}
    answer = fleet.call(running.caller_address("entry-01"), "POST", "/reservations/book",
                        {"room": "1"}, headers)
    state = answer.headers.get("x-bamboochute-run-state")
    runs = sum(fleet.call(service.address, "GET", "/fake/stats").json()["runs"]
               for service in running.services)
    return answer.status == 503 and state == "not-run" and runs == 0


def measure_seconds_until_ready(running):
    """Starts a new instance; returns the seconds until it is ready, or infinity on a timeout."""
    start = time.monotonic()
    running.start_instance(NEW_INSTANCE)
    while time.monotonic() - start < fleet.START_TIMEOUT_S:
        if fleet.call(running.admin_address(NEW_INSTANCE), "GET", "/readyz").status == 200:
            return time.monotonic() - start
        time.sleep(0.05)
    return float("inf")


def run(binaries):
    with fleet.Fleet(binaries, INSTANCE_COUNT) as running:
        if running.submit_example().returncode != 0:
            raise RuntimeError("the configuration was not accepted")
        fleet.chat(running.caller_address("entry-01"), LOADED_MODEL, "hello")
        set_outage(running, True)
        figures = {
            "loaded_answered": measure_answered_share(running, [LOADED_MODEL], 48),
            "cold_answered": measure_answered_share(running, COLD_MODELS, len(COLD_MODELS)),
            "operation_refused_as_not_run": float(is_refused_as_not_run(running)),
            "new_instance_ready_seconds": round(measure_seconds_until_ready(running), 2),
        }
        set_outage(running, False)
        time.sleep(2)
        figures["overcommitted"] = sum(
            fleet.call(engine.address, "GET", "/fake/stats").json()["overcommitted"]
            for engine in running.engines)
    return figures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build/release/bin")
    figures = run(parser.parse_args().binaries)
    bounds = {"loaded_answered": 1.0, "operation_refused_as_not_run": 1.0,
              "new_instance_ready_seconds": MAX_READY_S, "overcommitted": 0}
    holds = (figures["loaded_answered"] == 1.0 and figures["operation_refused_as_not_run"] == 1.0
             and figures["new_instance_ready_seconds"] <= MAX_READY_S
             and figures["overcommitted"] == 0)
    print(json.dumps({"experiment": "outage", "seed": 0, "figures": figures, "bounds": bounds,
                      "holds": holds}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
