"""Builds a bamboochute configuration and prints it as JSON.

Needs only the standard library. For the same configuration it writes the same bytes as the C++ library
(include/bamboochute/operator.hpp). Each value is checked when it is added; references between values and
limits of memory are checked by Configuration.to_json. A ConfigurationInvalid names the field, its value and
the limit.

Example:

    configuration = Configuration()
    configuration.allow("ana", sha256("ana's credential"))
    assistant = configuration.deployment("assistant")
    assistant.model("chat@1", memory=gibibytes(20), most=2)
    assistant.engine("worker-1", pool="workers", at=("10.0.1.1", 9000), data_centre="north",
                     memory=gibibytes(80))
    print(configuration.to_json(), end="")
"""

import hashlib
import ipaddress
import json
import re

FORMAT_VERSION = 1
MAX_MEMORY_BYTES = 1 << 44
MAX_REPLICAS = 4096
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_CLAIM_RETENTION_SECONDS = 7 * 24 * 3600
METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
VENDORS = ("araucaria", "bromelia", "cinchona")
FENCINGS = ("refuses", "ignores")
ROLES = ("mixed", "prefill", "decode")

_NAME = re.compile(r"[A-Za-z0-9._@:-]{1,128}\Z")
_PATH = re.compile(r"/[A-Za-z0-9._@:/~-]{0,255}\Z")
_HASH = re.compile(r"[0-9a-f]{64}\Z")


class ConfigurationInvalid(ValueError):
    """An invalid value in the configuration.

    Attributes:
        field: path of the field, such as "deployments[0].models[3].memoryBytes".
    """

    def __init__(self, field, message):
        super().__init__(f"{field} {message}")
        self.field = field


def mebibytes(count):
    """Converts MiB to bytes."""
    return count << 20


def gibibytes(count):
    """Converts GiB to bytes."""
    return count << 30


def sha256(credential):
    """Returns the SHA-256 of a credential as 64 lower-case hexadecimal digits."""
    return hashlib.sha256(credential.encode()).hexdigest()


def _quoted(value):
    return f'"{value}"' if isinstance(value, str) else str(value)


def _check_name(field, value):
    if not isinstance(value, str) or not _NAME.match(value):
        raise ConfigurationInvalid(
            field,
            f"is {_quoted(value)}; it must be 1 to 128 letters, digits or any of . _ @ : -",
        )
    return value


def _check_number(field, value, least, greatest):
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not least <= value <= greatest:
        raise ConfigurationInvalid(
            field, f"is {_quoted(value)}; it must be a whole number from {least} to {greatest}"
        )
    return value


def _check_decimal(field, value, least, greatest):
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not least <= value <= greatest:
        raise ConfigurationInvalid(
            field, f"is {_quoted(value)}; it must be a number from {least} to {greatest}"
        )
    return float(value)


def _check_choice(field, value, allowed):
    if value not in allowed:
        raise ConfigurationInvalid(
            field, f"is {_quoted(value)}; it must be one of {', '.join(allowed)}"
        )
    return value


def _check_hash(field, value, may_be_empty):
    if (value == "" and may_be_empty) or (isinstance(value, str) and _HASH.match(value)):
        return value
    raise ConfigurationInvalid(
        field,
        "is not shown; it must be the SHA-256 of the credential, 64 lower-case hexadecimal digits",
    )


def _check_address(field, value):
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ConfigurationInvalid(
            field, f"is {_quoted(value)}; it must be an IP address"
        ) from None
    return value


def _check_new(field, name, known):
    if name in known:
        raise ConfigurationInvalid(field, f"is {_quoted(name)}; {known[name]} already has this")
    known[name] = field


class Deployment:
    """One team's models, adapters, upstreams and callers.

    Created by Configuration.deployment. Every function checks its arguments, raises ConfigurationInvalid for
    an invalid one, and returns the deployment, so that calls can be chained.
    """

    def __init__(self, configuration, identifier, path):
        self._configuration = configuration
        self._path = path
        self._settings = {
            "deadlines": {"defaultDeadlineMs": 30000, "maxDeadlineMs": 600000},
            "store": {"loadsPerSecond": 2.0, "loadsAtOnce": 4, "adaptersInTransit": 32},
            "idleSecondsPerColdStartSecond": 60.0,
        }
        self._lists = {
            "callerClasses": [],
            "models": [],
            "adapters": [],
            "upstreams": [],
            "routes": [],
        }
        self.identifier = _check_name(f"{path}.id", identifier)

    def callers(self, identifier, weight=1, engine_priority=0, max_queued=256, credential_hash=""):
        """Adds a caller class: callers that share a weight, a priority and a queue limit.

        Args:
            identifier: name of the class.
            weight: share of the capacity under overload, relative to the other classes.
            engine_priority: priority passed on to engines; higher goes first.
            max_queued: maximum number of requests of the class that wait at one instance.
            credential_hash: SHA-256 of the bearer credential that the callers must send, as sha256()
                returns it; empty when they need none.
        """
        place = self._next("callerClasses")
        self._configuration._note_credential(f"{place}.credentialHash", credential_hash)
        self._add(
            "callerClasses",
            {
                "id": _check_name(f"{place}.id", identifier),
                "weight": _check_number(f"{place}.weight", weight, 1, 1000000),
                "enginePriority": _check_number(
                    f"{place}.enginePriority", engine_priority, -1000, 1000
                ),
                "maxQueued": _check_number(f"{place}.maxQueued", max_queued, 1, 65536),
                "credentialHash": _check_hash(f"{place}.credentialHash", credential_hash, True),
            },
            (self.identifier, "callerClasses"),
        )
        return self

    def model(self, identifier, memory, least=0, most=1, only_in=(), followed_by=""):
        """Adds one version of a model.

        Args:
            identifier: name and version, such as "lease-terms@3".
            memory: accelerator memory of one replica in bytes, with its KV cache.
            least: minimum number of replicas in each pool; these are always loaded.
            most: maximum number of replicas in each pool.
            only_in: data centres in which the model may run; empty for any.
            followed_by: model that is likely to be requested next; empty for none.
        """
        place = self._next("models")
        if followed_by:
            _check_name(f"{place}.followedBy", followed_by)
        data_centres = [
            _check_name(f"{place}.dataCentres[{i}]", each) for i, each in enumerate(only_in)
        ]
        self._add(
            "models",
            {
                "id": _check_name(f"{place}.id", identifier),
                "memoryBytes": _check_number(f"{place}.memoryBytes", memory, 1, MAX_MEMORY_BYTES),
                "minReplicas": _check_number(f"{place}.minReplicas", least, 0, MAX_REPLICAS),
                "maxReplicas": _check_number(f"{place}.maxReplicas", most, 1, MAX_REPLICAS),
                "dataCentres": sorted(data_centres),
                "followedBy": followed_by,
            },
            "models",
        )
        return self

    def adapter(self, identifier, base, memory, most=1):
        """Adds an adapter for a base model.

        Args:
            identifier: name of the adapter.
            base: the base model, a model of this deployment.
            memory: accelerator memory of the adapter in bytes.
            most: maximum number of replicas in each pool.
        """
        place = self._next("adapters")
        self._add(
            "adapters",
            {
                "id": _check_name(f"{place}.id", identifier),
                "base": _check_name(f"{place}.base", base),
                "memoryBytes": _check_number(f"{place}.memoryBytes", memory, 1, MAX_MEMORY_BYTES),
                "maxReplicas": _check_number(f"{place}.maxReplicas", most, 1, MAX_REPLICAS),
            },
            "adapters",
        )
        return self

    def engine(
        self,
        identifier,
        pool,
        at,
        data_centre,
        memory,
        vendor="araucaria",
        fencing="refuses",
        checks_sender=False,
        role="mixed",
        accelerators=1,
        max_concurrent=32,
    ):
        """Adds a worker with a model engine.

        Args:
            identifier: name of the engine.
            pool: pool that the engine belongs to; a pool holds engines or services, not both.
            at: pair of IP address and port.
            data_centre: data centre in which the engine runs.
            memory: accelerator memory in bytes.
            vendor: one of VENDORS.
            fencing: "refuses" when the engine refuses orders with an old fencing number, else "ignores".
            checks_sender: whether the engine checks who sends it an order.
            role: one of ROLES.
            accelerators: number of accelerators.
            max_concurrent: maximum number of requests that the engine runs at the same time.
        """
        place = self._next("upstreams")
        _check_number(f"{place}.memoryBytes", memory, 1, MAX_MEMORY_BYTES)
        return self._upstream(
            place,
            "engine",
            identifier,
            pool,
            at,
            data_centre,
            {
                "vendor": _check_choice(f"{place}.vendor", vendor, VENDORS),
                "fencing": _check_choice(f"{place}.fencing", fencing, FENCINGS),
                "checksSender": bool(checks_sender),
                "role": _check_choice(f"{place}.role", role, ROLES),
                "memoryBytes": memory,
                "accelerators": _check_number(f"{place}.accelerators", accelerators, 0, 64),
                "maxConcurrent": _check_number(
                    f"{place}.maxConcurrent", max_concurrent, 1, 65536
                ),
            },
        )

    def service(self, identifier, pool, at, data_centre, max_concurrent=32):
        """Adds a plain service, that is, an upstream without a model engine.

        Args:
            identifier: name of the service.
            pool: pool that the service belongs to; a pool holds engines or services, not both.
            at: pair of IP address and port.
            data_centre: data centre in which the service runs.
            max_concurrent: maximum number of requests that the service runs at the same time.
        """
        place = self._next("upstreams")
        return self._upstream(
            place,
            "service",
            identifier,
            pool,
            at,
            data_centre,
            {
                "vendor": VENDORS[0],
                "fencing": FENCINGS[0],
                "checksSender": False,
                "role": ROLES[0],
                "memoryBytes": 0,
                "accelerators": 0,
                "maxConcurrent": _check_number(
                    f"{place}.maxConcurrent", max_concurrent, 1, 65536
                ),
            },
        )

    def route(self, path_prefix, to, run_at_most_once=(), remembered_seconds=7200):
        """Routes requests with a path prefix to a pool of plain services.

        Args:
            path_prefix: begins with "/" and has at most 256 characters.
            to: the pool of plain services.
            run_at_most_once: HTTP methods that are not idempotent, whose requests must not run twice.
            remembered_seconds: how long an operation key is kept, in seconds.
        """
        place = self._next("routes")
        if not isinstance(path_prefix, str) or not _PATH.match(path_prefix):
            raise ConfigurationInvalid(
                f"{place}.pathPrefix",
                f"is {_quoted(path_prefix)}; it must be a path that begins with \"/\" and has at "
                "most 256 characters",
            )
        methods = [
            _check_choice(f"{place}.nonIdempotentMethods[{i}]", each, METHODS)
            for i, each in enumerate(run_at_most_once)
        ]
        self._add(
            "routes",
            {
                "pathPrefix": path_prefix,
                "pool": _check_name(f"{place}.pool", to),
                "nonIdempotentMethods": sorted(methods),
                "claimRetentionSeconds": _check_number(
                    f"{place}.claimRetentionSeconds",
                    remembered_seconds,
                    1,
                    MAX_CLAIM_RETENTION_SECONDS,
                ),
            },
            "routes",
            key="pathPrefix",
        )
        return self

    def deadlines(self, usual_ms, greatest_ms):
        """Sets the deadlines of requests.

        Args:
            usual_ms: deadline in ms of a request that gives none.
            greatest_ms: maximum deadline in ms that a request may give.
        """
        place = f"{self._path}.deadlines"
        _check_number(f"{place}.defaultDeadlineMs", usual_ms, 1, MAX_DEADLINE_MS)
        _check_number(f"{place}.maxDeadlineMs", greatest_ms, 1, MAX_DEADLINE_MS)
        if usual_ms > greatest_ms:
            raise ConfigurationInvalid(
                f"{place}.defaultDeadlineMs",
                f"is {usual_ms}; it must be at most maxDeadlineMs, which is {greatest_ms}",
            )
        self._settings["deadlines"] = {
            "defaultDeadlineMs": usual_ms,
            "maxDeadlineMs": greatest_ms,
        }
        return self

    def store(self, loads_per_second, loads_at_once, adapters_in_transit):
        """Sets the limits of the weight store, which hold for the whole fleet.

        Args:
            loads_per_second: maximum rate of loads.
            loads_at_once: maximum number of concurrent loads.
            adapters_in_transit: maximum number of adapters that are loading at the same time.
        """
        place = f"{self._path}.store"
        self._settings["store"] = {
            "loadsPerSecond": _check_decimal(
                f"{place}.loadsPerSecond", loads_per_second, 0.001, 10000
            ),
            "loadsAtOnce": _check_number(f"{place}.loadsAtOnce", loads_at_once, 1, 1024),
            "adaptersInTransit": _check_number(
                f"{place}.adaptersInTransit", adapters_in_transit, 1, 4096
            ),
        }
        return self

    def idle_seconds_per_cold_start_second(self, seconds):
        """Sets the number of idle accelerator seconds that cost as much as one second of cold start."""
        self._settings["idleSecondsPerColdStartSecond"] = _check_decimal(
            f"{self._path}.idleSecondsPerColdStartSecond", seconds, 0.001, 1000000
        )
        return self

    def _next(self, name):
        return f"{self._path}.{name}[{len(self._lists[name])}]"

    def _add(self, name, item, names, key="id"):
        self._configuration._note(names, f"{self._next(name)}.{key}", item[key])
        self._lists[name].append(item)

    def _upstream(self, place, kind, identifier, pool, at, data_centre, rest):
        address, port = at
        item = {
            "id": _check_name(f"{place}.id", identifier),
            "pool": _check_name(f"{place}.pool", pool),
            "kind": kind,
            "address": _check_address(f"{place}.address", address),
            "port": _check_number(f"{place}.port", port, 1, 65535),
            "dataCentre": _check_name(f"{place}.dataCentre", data_centre),
        }
        item.update(rest)
        self._configuration._note("endpoints", f"{place}.port", f"{address} port {port}")
        self._add("upstreams", item, "upstreams")
        return self

    def _value(self):
        value = {"id": self.identifier}
        value.update(self._settings)
        for name, items in self._lists.items():
            key = "pathPrefix" if name == "routes" else "id"
            value[name] = sorted(items, key=lambda item: item[key])
        return value

    def _check(self):
        pools = self._check_pools()
        services = {pool for pool, kind in pools.items() if kind == "service"}
        for i, route in enumerate(self._lists["routes"]):
            if route["pool"] not in services:
                raise ConfigurationInvalid(
                    f"{self._path}.routes[{i}].pool",
                    f"is \"{route['pool']}\"; no service of this deployment is in this pool",
                )
        models = {model["id"]: model for model in self._lists["models"]}
        for i, model in enumerate(self._lists["models"]):
            self._check_model(f"{self._path}.models[{i}]", model, models)
        for i, adapter in enumerate(self._lists["adapters"]):
            self._check_adapter(f"{self._path}.adapters[{i}]", adapter, models)
        self._check_least_replicas()

    def _check_pools(self):
        pools = {}
        for i, upstream in enumerate(self._lists["upstreams"]):
            place = f"{self._path}.upstreams[{i}].pool"
            if upstream["pool"] not in pools:
                self._configuration._note("pools", place, upstream["pool"])
            if pools.setdefault(upstream["pool"], upstream["kind"]) != upstream["kind"]:
                raise ConfigurationInvalid(
                    place,
                    f"is \"{upstream['pool']}\"; a pool holds engines or services, not both",
                )
        return pools

    def _engines(self, model):
        allowed = model["dataCentres"]
        return [
            upstream
            for upstream in self._lists["upstreams"]
            if upstream["kind"] == "engine" and (not allowed or upstream["dataCentre"] in allowed)
        ]

    def _check_model(self, place, model, models):
        engines = self._engines(model)
        for i, data_centre in enumerate(model["dataCentres"]):
            if all(engine["dataCentre"] != data_centre for engine in engines):
                raise ConfigurationInvalid(
                    f"{place}.dataCentres[{i}]",
                    f'is "{data_centre}"; no engine of this deployment is there',
                )
        least, most = model["minReplicas"], model["maxReplicas"]
        if least > most:
            raise ConfigurationInvalid(
                f"{place}.minReplicas",
                f"is {least}; it must be at most maxReplicas, which is {most}",
            )
        rooms = {}
        for engine in engines:
            fits = engine["memoryBytes"] >= model["memoryBytes"]
            rooms[engine["pool"]] = rooms.get(engine["pool"], 0) + fits
        for pool, room in sorted(rooms.items()):
            if least > room:
                raise ConfigurationInvalid(
                    f"{place}.minReplicas",
                    f'is {least}; pool "{pool}" has room for at most {room}',
                )
        room = max(rooms.values(), default=0)
        if room == 0:
            raise ConfigurationInvalid(
                f"{place}.memoryBytes",
                f"is {model['memoryBytes']}; no engine on which the model may run has that much",
            )
        if most > room:
            raise ConfigurationInvalid(
                f"{place}.maxReplicas",
                f"is {most}; the engines have room for at most {room}",
            )
        follower = model["followedBy"]
        if follower and (follower == model["id"] or follower not in models):
            raise ConfigurationInvalid(
                f"{place}.followedBy",
                f'is "{follower}"; it must be another model of this deployment',
            )

    def _check_adapter(self, place, adapter, models):
        base = models.get(adapter["base"])
        if base is None:
            raise ConfigurationInvalid(
                f"{place}.base", f"is \"{adapter['base']}\"; this deployment has no such model"
            )
        if adapter["maxReplicas"] > base["maxReplicas"]:
            raise ConfigurationInvalid(
                f"{place}.maxReplicas",
                f"is {adapter['maxReplicas']}; its base \"{base['id']}\" has at most "
                f"{base['maxReplicas']}",
            )
        room = max(engine["memoryBytes"] for engine in self._engines(base)) - base["memoryBytes"]
        if adapter["memoryBytes"] > room:
            raise ConfigurationInvalid(
                f"{place}.memoryBytes",
                f"is {adapter['memoryBytes']}; beside its base \"{base['id']}\" at most {room} "
                "are free",
            )

    def _check_least_replicas(self):
        memory = {}
        for upstream in self._lists["upstreams"]:
            if upstream["kind"] == "engine":
                pool = upstream["pool"]
                memory[pool] = memory.get(pool, 0) + upstream["memoryBytes"]
        wanted = dict.fromkeys(memory, 0)
        for i, model in enumerate(self._lists["models"]):
            for pool in sorted({engine["pool"] for engine in self._engines(model)}):
                wanted[pool] += model["memoryBytes"] * model["minReplicas"]
                if wanted[pool] > memory[pool]:
                    raise ConfigurationInvalid(
                        f"{self._path}.models[{i}].minReplicas",
                        f"is {model['minReplicas']}; with the models before it {wanted[pool]} "
                        f'bytes are always loaded in pool "{pool}", which has {memory[pool]}',
                    )


class Configuration:
    """A complete configuration, which is submitted as one: operators and deployments."""

    def __init__(self):
        self._operators = []
        self._deployments = []
        self._names = {}

    def allow(self, name, credential_hash):
        """Adds an operator who may use the administration API.

        Args:
            name: name of the operator.
            credential_hash: SHA-256 of the operator's credential, as sha256() returns it.

        Raises:
            ConfigurationInvalid: a value is invalid, or the name or the credential is already in use.
        """
        place = f"operators[{len(self._operators)}]"
        operator = {
            "name": _check_name(f"{place}.name", name),
            "credentialHash": _check_hash(f"{place}.credentialHash", credential_hash, False),
        }
        self._note("operators", f"{place}.name", name)
        self._note_credential(f"{place}.credentialHash", credential_hash)
        self._operators.append(operator)
        return self

    def deployment(self, identifier):
        """Adds an empty deployment and returns it; raises ConfigurationInvalid when the name is in use."""
        path = f"deployments[{len(self._deployments)}]"
        deployment = Deployment(self, identifier, path)
        self._note("deployments", f"{path}.id", identifier)
        self._deployments.append(deployment)
        return deployment

    def to_json(self):
        """Checks the configuration as a whole and returns it as JSON with a line feed at the end.

        Raises:
            ConfigurationInvalid: a reference has no target, or models or adapters don't fit the memory.
        """
        self._names.pop("pools", None)
        for deployment in self._deployments:
            deployment._check()
        value = {
            "formatVersion": FORMAT_VERSION,
            "operators": sorted(self._operators, key=lambda each: each["name"]),
            "deployments": [
                each._value() for each in sorted(self._deployments, key=lambda d: d.identifier)
            ],
        }
        return json.dumps(value, indent=2, ensure_ascii=False) + "\n"

    def _note_credential(self, field, credential_hash):
        credentials = self._names.setdefault("credentials", {})
        if credential_hash and credential_hash in credentials:
            raise ConfigurationInvalid(
                field, "is given twice; every credential must be another"
            )
        credentials[credential_hash] = field

    def _note(self, names, field, name):
        _check_new(field, name, self._names.setdefault(names, {}))
