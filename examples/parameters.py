"""What the example deployments take from the command line."""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "python"))

ENGINES = 12
SERVICES = 4


def _endpoints(text):
    pairs = [each.rpartition(":") for each in text.split(",")]
    return [(address, int(port)) for address, _, port in pairs]


def _defaults(count, network, port):
    return ",".join(f"10.0.{network}.{i}:{port}" for i in range(1, count + 1))


def read():
    """Reads the flags; engines and services become lists of pairs of IP number and port."""
    parser = argparse.ArgumentParser(description="Prints an example configuration as JSON.")
    parser.add_argument("--engines", type=_endpoints, default=_defaults(ENGINES, 1, 9000))
    parser.add_argument("--services", type=_endpoints, default=_defaults(SERVICES, 2, 9100))
    parser.add_argument("--operator", default="operator")
    parser.add_argument("--credential", default="example-credential")
    parameters = parser.parse_args()
    for name, count in (("engines", ENGINES), ("services", SERVICES)):
        given = len(getattr(parameters, name))
        if given != count:
            parser.error(f"--{name} holds {given} endpoints; it must hold {count}")
    return parameters
