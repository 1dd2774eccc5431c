"""Kills, stops or pauses the owner of a pool during a load and measures when its successor decides again.

Prints one JSON line; the exit code is 1 when a check or a bound does not hold.
"""

import argparse
import json
import signal
import sys
import threading
import time

import fleet

FIRST_MODEL = "visa-letters@3"
SECOND_MODEL = "speech-notes@3"
LOAD_MS = 800
INSTANCE_COUNT = 12
MAX_TAKEOVER_S = {"kill": 5.0, "stop": 3.0, "pause": 5.0}
SIGNAL_BY_KIND = {"kill": signal.SIGKILL, "stop": signal.SIGTERM, "pause": signal.SIGSTOP}


def read_owner(running):
    """Returns the name of the instance that owns the first pool, and its fencing number."""
    status = json.loads(running.control("status", "--json").stdout)
    return status["owners"][0]["owner"], status["owners"][0]["fence"]


def wait_for_owner(running):
    end = time.monotonic() + fleet.START_TIMEOUT_S
    while time.monotonic() < end:
        try:
            return read_owner(running)
        except (IndexError, KeyError, json.JSONDecodeError):
            time.sleep(0.1)
    raise RuntimeError("no instance owns the pool")


def send_chat(address, model, answers):
    start = time.monotonic()
    headers = {"x-request-deadline-ms": "30000"}
    answer = fleet.chat(address, model, "hello", headers=headers, timeout=40)
    answers[model] = (answer.status, time.monotonic() - start)


def measure_takeover(binaries, kind):
    """Returns the takeover time and whether all checks passed.

    The takeover time is in seconds, from the signal to the owner until a cold start that its successor
    decided could begin.
    """
    with fleet.Fleet(binaries, INSTANCE_COUNT, load_ms=LOAD_MS) as running:
        if running.submit_example().returncode != 0:
            raise RuntimeError("the configuration was not accepted")
        owner, fence = wait_for_owner(running)
        time.sleep(3)
        caller_instance = next(name for name in running.instances if name != owner)
        answers = {}
        threads = [threading.Thread(target=send_chat,
                                    args=(running.caller_address(caller_instance), model, answers))
                   for model in (FIRST_MODEL, SECOND_MODEL)]
        threads[0].start()
        time.sleep(0.3)
        running.instances[owner].send(SIGNAL_BY_KIND[kind])
        threads[1].start()
        for thread in threads:
            thread.join()
        if kind == "pause":
            running.instances[owner].send(signal.SIGCONT)
            time.sleep(2)
        successor, new_fence = wait_for_owner(running)
        overcommitted_count = sum(
            fleet.call(engine.address, "GET", "/fake/stats").json()["overcommitted"]
            for engine in running.engines)
        status, seconds = answers[SECOND_MODEL]
        is_passed = status == 200 and answers[FIRST_MODEL][0] == 200 and new_fence >= fence
        print(f"{kind}: {owner} -> {successor}, fence {fence} -> {new_fence}, first model "
              f"{answers[FIRST_MODEL]}, second model {answers[SECOND_MODEL]}")
        return max(0.0, seconds - LOAD_MS / 1000), is_passed and overcommitted_count == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build/release/bin")
    arguments = parser.parse_args()
    figures, holds = {}, True
    for kind, bound in MAX_TAKEOVER_S.items():
        seconds, is_passed = measure_takeover(arguments.binaries, kind)
        figures[f"{kind}_seconds"] = round(seconds, 2)
        holds = holds and is_passed and seconds <= bound
    print(json.dumps({"experiment": "takeover", "seed": 0, "figures": figures,
                      "bounds": {f"{kind}_seconds": bound for kind, bound in MAX_TAKEOVER_S.items()},
                      "holds": holds}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
