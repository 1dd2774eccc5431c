"""Prints the configuration of Glassmark, with its drafting and its orders, as JSON."""

import parameters

from bamboochute_operator import Configuration, gibibytes, mebibytes, sha256

DATA_CENTRES = ("saddar", "korangi", "clifton", "site-a")
# Family, memory in GiB, maximum number of replicas of the newest version.
FAMILIES = (
    ("layout-draft", 34, 4),
    ("layout-check", 18, 2),
    ("inscription", 8, 6),
    ("calligraphy", 24, 2),
    ("translate", 12, 2),
)
NEWEST_VERSION = 5
HOUSE_COUNT = 25
FAMILIES_WITH_ADAPTERS = ("layout-draft", "inscription", "calligraphy")


def add_drafting(configuration, engines):
    drafting = configuration.deployment("drafting")
    drafting.callers("export-house", weight=8, engine_priority=2, max_queued=128)
    drafting.callers("local-shop", weight=2, engine_priority=0, max_queued=128)
    drafting.callers("walk-in", weight=1, engine_priority=1, max_queued=256)
    drafting.deadlines(60000, 900000)
    drafting.store(3.0, 4, 32)
    drafting.idle_seconds_per_cold_start_second(30.0)
    for family, memory, max_replicas in FAMILIES:
        for version in range(1, NEWEST_VERSION + 1):
            drafting.model(
                f"{family}@{version}",
                memory=gibibytes(memory),
                most=max_replicas if version == NEWEST_VERSION else 1,
            )
    for family in FAMILIES_WITH_ADAPTERS:
        for house in range(1, HOUSE_COUNT + 1):
            drafting.adapter(
                f"{family}-house-{house:02}",
                base=f"{family}@{NEWEST_VERSION}",
                memory=mebibytes(192),
                most=2,
            )
    for i, endpoint in enumerate(engines):
        is_bromelia = i % 2 == 1
        drafting.engine(
            f"drafting-{i + 1:02}",
            pool="drafting",
            at=endpoint,
            data_centre=DATA_CENTRES[i % len(DATA_CENTRES)],
            memory=gibibytes(80),
            vendor="bromelia" if is_bromelia else "cinchona",
            fencing="ignores" if is_bromelia else "refuses",
            checks_sender=not is_bromelia,
            accelerators=2,
            max_concurrent=24,
        )


def add_orders(configuration, services):
    orders = configuration.deployment("orders")
    orders.callers("shop-floor", weight=4, max_queued=128)
    orders.route(
        "/lathe-slots",
        to="orders",
        run_at_most_once=["POST", "DELETE"],
        remembered_seconds=24 * 3600,
    )
    orders.route("/charges", to="orders", run_at_most_once=["POST"], remembered_seconds=72 * 3600)
    orders.route("/stock", to="orders")
    orders.deadlines(10000, 60000)
    for i, endpoint in enumerate(services):
        orders.service(
            f"orders-{i + 1}",
            pool="orders",
            at=endpoint,
            data_centre=DATA_CENTRES[i],
            max_concurrent=64,
        )


def main():
    arguments = parameters.read()
    configuration = Configuration()
    configuration.allow(arguments.operator, sha256(arguments.credential))
    add_drafting(configuration, arguments.engines)
    add_orders(configuration, arguments.services)
    print(configuration.to_json(), end="")


if __name__ == "__main__":
    main()
