"""Prints the configuration of the Instituto, with its assistant and its reservations, as JSON."""

import parameters

from bamboochute_operator import Configuration, gibibytes, mebibytes, sha256

DATA_CENTRES = ("quito-norte", "quito-sur", "cuenca-centro", "ambato")
# Family, memory in GiB, minimum and maximum number of replicas of the newest version, family that is likely
# to be requested next.
FAMILIES = (
    ("lease-terms", 38, 1, 4, "lease-summary"),
    ("lease-summary", 20, 0, 3, None),
    ("lease-translate", 16, 0, 2, None),
    ("grant-draft", 38, 0, 3, "grant-review"),
    ("grant-review", 24, 0, 2, None),
    ("grant-budget", 14, 0, 2, None),
    ("guest-chat", 12, 2, 8, None),
    ("guest-arrival", 10, 0, 4, "guest-chat"),
    ("guest-translate", 8, 0, 4, None),
    ("housing-search", 10, 0, 3, None),
    ("housing-rules", 18, 0, 2, None),
    ("visa-letters", 22, 0, 2, None),
    ("complaints", 12, 0, 2, None),
    ("forms-reader", 9, 0, 2, None),
    ("speech-notes", 6, 0, 2, None),
)
NEWEST_VERSION = 3
PARTNERS = (
    "puce", "usfq", "epn", "uce", "udla", "ups", "ucuenca",
    "utpl", "uta", "espe", "espol", "iaen", "flacso",
)  # fmt: skip
FAMILIES_WITH_ADAPTERS = ("lease-terms", "grant-draft", "guest-chat", "housing-rules", "visa-letters")
VENDORS = ("araucaria", "bromelia", "cinchona")


def add_assistant(configuration, engines):
    assistant = configuration.deployment("assistant")
    assistant.callers("grant-officer", weight=8, engine_priority=2, max_queued=64)
    assistant.callers("lease-desk", weight=4, engine_priority=1, max_queued=128)
    assistant.callers("guest-chat", weight=2, engine_priority=0, max_queued=256)
    assistant.deadlines(30000, 600000)
    assistant.store(2.0, 4, 32)
    assistant.idle_seconds_per_cold_start_second(600.0)
    for family, memory, min_replicas, max_replicas, next_family in FAMILIES:
        for version in range(1, NEWEST_VERSION + 1):
            is_newest = version == NEWEST_VERSION
            assistant.model(
                f"{family}@{version}",
                memory=gibibytes(memory),
                least=min_replicas if is_newest else 0,
                most=max_replicas if is_newest else 1,
                followed_by=f"{next_family}@{NEWEST_VERSION}" if is_newest and next_family else "",
            )
    for family in FAMILIES_WITH_ADAPTERS:
        for partner in PARTNERS:
            assistant.adapter(
                f"{family}-{partner}", base=f"{family}@{NEWEST_VERSION}", memory=mebibytes(256), most=2
            )
    for i, endpoint in enumerate(engines):
        vendor = VENDORS[i % len(VENDORS)]
        assistant.engine(
            f"assistant-{i + 1:02}",
            pool="assistant",
            at=endpoint,
            data_centre=DATA_CENTRES[i % len(DATA_CENTRES)],
            memory=gibibytes(96),
            vendor=vendor,
            fencing="ignores" if vendor == "bromelia" else "refuses",
            checks_sender=vendor != "bromelia",
            accelerators=4,
            max_concurrent=32,
        )


def add_reservations(configuration, services):
    reservations = configuration.deployment("reservations")
    reservations.callers("booking-desk", weight=4, max_queued=128)
    reservations.callers("guest", weight=1, max_queued=256)
    reservations.route(
        "/reservations", to="reservations", run_at_most_once=["POST"], remembered_seconds=24 * 3600
    )
    reservations.route(
        "/deposits", to="reservations", run_at_most_once=["POST"], remembered_seconds=72 * 3600
    )
    reservations.route("/reservations/status", to="reservations")
    reservations.deadlines(10000, 60000)
    for i, endpoint in enumerate(services):
        reservations.service(
            f"reservations-{i + 1}",
            pool="reservations",
            at=endpoint,
            data_centre=DATA_CENTRES[i],
            max_concurrent=64,
        )


def main():
    arguments = parameters.read()
    configuration = Configuration()
    configuration.allow(arguments.operator, sha256(arguments.credential))
    add_assistant(configuration, arguments.engines)
    add_reservations(configuration, arguments.services)
    print(configuration.to_json(), end="")


if __name__ == "__main__":
    main()
