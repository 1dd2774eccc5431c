"""Starts stand-in servers and entry instances as processes on free ports of 127.0.0.1, and stops them."""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ORDER_CREDENTIAL = "demo-order-credential"
OPERATOR_CREDENTIAL = "demo-operator-credential"
PEER_KEYS = "1:demo-peer-key-0123456789"
VENDORS = ["araucaria", "bromelia", "cinchona"]
DATA_CENTRES = ["quito-norte", "quito-sur", "cuenca-centro", "ambato"]
ENGINE_COUNT = 12
SERVICE_COUNT = 4
START_TIMEOUT_S = 20


class Process:
    """A running program that has printed its bound addresses as one JSON line on standard output."""

    def __init__(self, name, command, directory, environment=None):
        self.name = name
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log,
                                      env={**os.environ, **(environment or {})})
        line = self.child.stdout.readline()
        try:
            self.bound = json.loads(line)
        except json.JSONDecodeError:
            self.close()
            raise RuntimeError(f"{name} did not start; it printed \"{line.decode().strip()}\" "
                               "instead of its addresses and its log is "
                               f"{self.log_path.read_text()}") from None

    def send(self, signal_number):
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def wait(self, timeout):
        """Returns the exit code, or None when the process still runs after timeout seconds."""
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def close(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()
        self.child.stdout.close()
        self.log.close()


class Answer:
    """Status, headers and body of an HTTP response."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, headers=None, timeout=60):
    """Sends one HTTP request over a new connection and returns its Answer.

    A body that is a dict or a list is sent as JSON. timeout is in seconds.
    """
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = json.dumps(body) if isinstance(body, (dict, list)) else body
        sent_headers = dict(headers or {})
        if isinstance(body, (dict, list)):
            sent_headers["Content-Type"] = "application/json"
        connection.request(method, path, payload, sent_headers)
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read().decode())
    finally:
        connection.close()


def chat(address, model, text, stream=False, headers=None, timeout=60):
    """Requests a chat completion for one user message."""
    body = {"model": model, "messages": [{"role": "user", "content": text}], "stream": stream}
    return call(address, "POST", "/v1/chat/completions", body, headers, timeout)


class Fleet:
    """A set of stand-in servers and the entry instances that use them.

    The flags are passed on to each stand-in engine or service; load_ms is the --load-ms flag of the
    stand-in weight store.
    """

    def __init__(self, binaries, instance_count, load_ms=800, engine_flags=(), service_flags=()):
        self.binaries = pathlib.Path(binaries)
        self.directory = tempfile.TemporaryDirectory(prefix="bamboochute-")
        self.load_ms = load_ms
        self.engine_flags = list(engine_flags)
        self.service_flags = list(service_flags)
        self.engines, self.services, self.instances = [], [], {}
        self.stand_ins = []
        try:
            self._start_platform()
            self._start_upstreams()
            for number in range(1, instance_count + 1):
                self.start_instance(f"entry-{number:02}")
        except Exception:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def _fake(self, name, kind, *flags):
        command = [str(self.binaries / "bamboochute-fakes"), kind, *flags]
        process = Process(name, command, self.directory.name)
        process.address = f"{process.bound['address']}:{process.bound['port']}"
        self.stand_ins.append(process)
        return process

    def _start_platform(self):
        self.key_value = self._fake("key-value", "key-value")
        self.instance_list = self._fake("instance-list", "instances", "--lag-ms=500")
        self.store = self._fake("store", "store", f"--load-ms={self.load_ms}")

    def _start_upstreams(self):
        for number in range(ENGINE_COUNT):
            vendor = VENDORS[number % len(VENDORS)]
            flags = [f"--vendor={vendor}", f"--store={self.store.address}", "--memory-mib=98304",
                     "--tokens=12", "--report-lag-ms=500", *self.engine_flags]
            if vendor == "bromelia":
                flags.append("--fencing=ignores")
            else:
                flags.append(f"--credential={ORDER_CREDENTIAL}")
            self.engines.append(self._fake(f"engine-{number + 1:02}", "engine", *flags))
        for number in range(SERVICE_COUNT):
            self.services.append(self._fake(f"service-{number + 1}", "service",
                                            *self.service_flags))

    def start_instance(self, name):
        """Starts an entry instance; the name may be that of an instance that has ended, which it replaces."""
        number = len(self.instances)
        seeds = [each.bound["peerListen"] for key, each in self.instances.items() if key != name]
        command = [str(self.binaries / "bamboochuted"), f"--instance={name}",
                   f"--data-centre={DATA_CENTRES[number % len(DATA_CENTRES)]}",
                   "--region=ec-sierra", "--listen=127.0.0.1:0", "--admin-listen=127.0.0.1:0",
                   "--peer-listen=127.0.0.1:0", f"--key-value={self.key_value.address}",
                   f"--instance-list={self.instance_list.address}"]
        if seeds:
            command.append(f"--seeds={','.join(seeds[:3])}")
        credential_hash = hashlib.sha256(OPERATOR_CREDENTIAL.encode()).hexdigest()
        environment = {"BAMBOOCHUTE_PEER_KEYS": PEER_KEYS,
                       "BAMBOOCHUTE_ORDER_CREDENTIAL": ORDER_CREDENTIAL,
                       "BAMBOOCHUTE_BOOTSTRAP_CREDENTIAL_HASH": credential_hash}
        self.instances[name] = Process(name, command, self.directory.name, environment)
        return self.instances[name]

    def caller_address(self, name):
        return self.instances[name].bound["listen"]

    def admin_address(self, name):
        return self.instances[name].bound["adminListen"]

    def configuration(self, example="instituto"):
        """Returns the configuration of an example as JSON, with the upstream addresses of this fleet."""
        command = [str(self.binaries / f"example-{example}"),
                   f"--engines={','.join(each.address for each in self.engines)}",
                   f"--services={','.join(each.address for each in self.services)}",
                   "--operator=demo", f"--credential={OPERATOR_CREDENTIAL}"]
        return subprocess.run(command, check=True, capture_output=True, text=True).stdout

    def control(self, *arguments):
        """Runs bamboochutectl against all running instances; returns its subprocess.CompletedProcess."""
        endpoints = ",".join(each.bound["adminListen"] for each in self.instances.values()
                             if each.child.poll() is None)
        environment = {**os.environ, "BAMBOOCHUTE_CREDENTIAL": OPERATOR_CREDENTIAL,
                       "BAMBOOCHUTE_ENDPOINT": endpoints}
        return subprocess.run([str(self.binaries / "bamboochutectl"), *arguments], text=True,
                              capture_output=True, env=environment, check=False)

    def submit_example(self, example="instituto"):
        """Submits an example's configuration and waits until all instances have applied it."""
        path = pathlib.Path(self.directory.name) / "configuration.json"
        path.write_text(self.configuration(example))
        return self.control("submit", str(path), "--expected-revision=0", "--wait")

    def wait_until_ready(self, timeout=START_TIMEOUT_S):
        """Waits until all running instances report ready; returns False after timeout seconds."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            running = [each for each in self.instances.values() if each.child.poll() is None]
            if all(call(each.bound["adminListen"], "GET", "/readyz").status == 200
                   for each in running):
                return True
            time.sleep(0.05)
        return False

    def stop_instances(self, timeout=30):
        """Stops all entry instances gracefully; returns a dict of name to exit code (None: still runs)."""
        for process in self.instances.values():
            process.send(signal.SIGTERM)
        return {name: process.wait(timeout) for name, process in self.instances.items()}

    def close(self):
        """Kills all processes that still run and removes the directory with their logs."""
        for process in [*self.instances.values(), *self.stand_ins]:
            process.close()
        self.directory.cleanup()
