"""Command line of the example programs."""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "python"))

ENGINE_COUNT = 12
SERVICE_COUNT = 4


def _parse_endpoints(text):
    parts = [endpoint.rpartition(":") for endpoint in text.split(",")]
    return [(address, int(port)) for address, _, port in parts]


def _make_default_endpoints(count, third_octet, port):
    return ",".join(f"10.0.{third_octet}.{i}:{port}" for i in range(1, count + 1))


def read():
    """Parses the flags; engines and services become lists of (IP address, port) pairs."""
    parser = argparse.ArgumentParser(description="Prints an example configuration as JSON.")
    parser.add_argument("--engines", type=_parse_endpoints,
                        default=_make_default_endpoints(ENGINE_COUNT, 1, 9000))
    parser.add_argument("--services", type=_parse_endpoints,
                        default=_make_default_endpoints(SERVICE_COUNT, 2, 9100))
    parser.add_argument("--operator", default="operator")
    parser.add_argument("--credential", default="example-credential")
    arguments = parser.parse_args()
    for name, count in (("engines", ENGINE_COUNT), ("services", SERVICE_COUNT)):
        endpoint_count = len(getattr(arguments, name))
        if endpoint_count != count:
            parser.error(f"--{name} holds {endpoint_count} endpoints; it must hold {count}")
    return arguments
