"""Settings files: decodes JSON with comments into validated ``attrs`` classes.

All errors of a file are raised together as an ``ExceptionGroup`` of
:class:`~tarragoncart.errors.SettingsError`; the ``peer`` of each is the path of the value, such as
``pools[2].max_unavailable_count``.
"""

from __future__ import annotations

import difflib
import functools
import ipaddress
import json
import math
import re
import types
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
from attrs import frozen
from cattrs.errors import (
    AttributeValidationNote,
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn

from . import defaults
from .capacity import CAPACITY
from .errors import SettingsError
from .fairqueue import QUEUE_ORDERS
from .metrics import METRICS_EXPORTERS
from .model import FleetConfig
from .registry import Registry
from .routing import EJECTION, ROUTING
from .waves import WAVES

T = TypeVar("T")

LOG_LEVELS = ("debug", "info", "warning", "error")

# Names are used in URL paths and in request IDs.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")

UNIT_SUFFIXES = ("ms", "s", "min", "h", "count", "bytes", "kb", "mb", "gb", "ratio", "weight")

# Registry of policies for each field of PolicySpec that names a policy.
POLICY_REGISTRIES: dict[str, Registry[Any]] = {
    "routing": ROUTING,
    "ejection": EJECTION,
    "queue_order": QUEUE_ORDERS,
    "capacity": CAPACITY,
    "wave": WAVES,
}


@frozen
class PeerSettings:
    """Another entry VM, contacted before the log has been read."""

    name: str
    peer_address: str


@frozen
class EntrySettings:
    """Settings that an entry VM needs before it has read the log.

    :param name: without dots, because issued request IDs are ``ENTRY.INCARNATION.NUMBER``.
    :param client_address: ``IP:PORT`` to bind for callers and operators; port 0 takes a free port.
    :param peer_address: ``IP:PORT`` to bind for other entry VMs.
    :param platform_address: ``IP:PORT`` of the platform's log, VM list and VM operations.
    :param advertised_client_address: ``IP:PORT`` given to others; empty for the bound address.
    :param advertised_peer_address: ``IP:PORT`` given to others; empty for the bound address.
    :param source_address: local IP address of outgoing connections; empty to let the system
        choose.
    :param peers: other entry VMs to contact before the log has been read.
    :param shutdown_timeout_ms: longest wait for requests in flight after SIGTERM.
    :param key_freshness_ms: greatest age of the view of the log at which keys are accepted.
    :param flush_window_ms: time during which log records are collected into one append.
    :param memory_mb: memory that the process may use; 0 if it is not known.
    :param fd_limit_count: file descriptors that the process may open; 0 if it is not known.
    """

    name: str
    data_centre: str
    client_address: str
    peer_address: str
    platform_address: str
    advertised_client_address: str = ""
    advertised_peer_address: str = ""
    source_address: str = ""
    peers: tuple[PeerSettings, ...] = ()
    log_level: str = "info"
    metrics_exporter: str = "none"
    shutdown_timeout_ms: int = defaults.SHUTDOWN_TIMEOUT_MS
    key_freshness_ms: int = defaults.KEY_FRESHNESS_MS
    flush_window_ms: int = defaults.FLUSH_WINDOW_MS
    memory_mb: int = 0
    fd_limit_count: int = 0


EntryCheck = Callable[[EntrySettings], Iterator[SettingsError]]
FleetCheck = Callable[[FleetConfig], Iterator[SettingsError]]

ENTRY_CHECKS: Registry[EntryCheck] = Registry("check of entry settings")
FLEET_CHECKS: Registry[FleetCheck] = Registry("check of fleet configurations")


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Read and validate the settings file of an entry VM.

    :raises ExceptionGroup: of :class:`SettingsError`, one for each error.
    """
    return parse_entry_settings(read_file(path))


def load_fleet_config(path: str | Path) -> FleetConfig:
    """Read and validate a fleet configuration file.

    :raises ExceptionGroup: of :class:`SettingsError`, one for each error.
    """
    return parse_fleet_config(read_file(path))


def parse_entry_settings(data: Any) -> EntrySettings:
    """Validate decoded entry settings; raises like :func:`load_entry_settings`."""
    return _parse(data, EntrySettings, ENTRY_CHECKS)


def parse_fleet_config(data: Any) -> FleetConfig:
    """Validate a decoded fleet configuration; raises like :func:`load_fleet_config`."""
    return _parse(data, FleetConfig, FLEET_CHECKS)


def check_fleet_config(config: FleetConfig) -> None:
    """Validate a configuration built in Python; raises like :func:`load_fleet_config`."""
    _raise_group(
        config_error for _, check in FLEET_CHECKS.items() for config_error in check(config)
    )


def read_file(path: str | Path) -> Any:
    """Decode a file of JSON with comments.

    :raises ExceptionGroup: of one :class:`SettingsError` whose ``peer`` is the file.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        return _decode(text)
    except (OSError, ValueError) as error:
        _raise_group([SettingsError(str(error), step="read file", peer=str(path))])


def _decode(text: str) -> Any:
    # json5 is a slow parser in pure Python. Plain JSON, such as the fleet library's output for
    # thousands of VMs, is decoded by the standard library.
    try:
        return json.loads(text, object_pairs_hook=_unique_keys)
    except json.JSONDecodeError:
        # Imported here to save the parser's memory if the settings have no comments.
        import json5

        return json5.loads(text, allow_duplicate_keys=False)


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        repeated = next(key for key, count in Counter(key for key, _ in pairs).items() if count > 1)
        raise ValueError(f"duplicate key {repeated!r}")
    return result


def problem(path: str, message: str) -> SettingsError:
    """Return the error about the value at ``path``."""
    return SettingsError(message, step="check", peer=path)


def _raise_group(errors: Iterable[SettingsError]) -> None:
    found = list(errors)
    if found:
        raise ExceptionGroup(f"{len(found)} settings error(s)", found)


# Decoded JSON to classes


def _parse(data: Any, cls: type[T], checks: Registry[Any]) -> T:
    errors: list[SettingsError] = []
    try:
        result = _converter().structure(data, cls)
    except BaseValidationError as error:
        invalid_values = list(_structure_errors(error, ()))
        errors = [problem(_path_text(path), message) for path, message, _ in invalid_values]
        repaired = json.loads(json.dumps(data))
        for path, _, expected in invalid_values:
            _repair(repaired, path, expected)
        result = _converter().structure(repaired, cls)
    except TypeError as error:
        raise ExceptionGroup("1 settings error(s)", [problem("", str(error))]) from None
    reported = {error.peer for error in errors}
    for _, check in checks.items():
        errors += (error for error in check(result) if not _is_reported(error.peer, reported))
    _raise_group(errors)
    return result


def _is_reported(path: str, reported: set[str]) -> bool:
    """Return whether the value at a path, or one that contains it, was reported as invalid."""
    parts = [match.start() for match in re.finditer(r"[.\[]", path)]
    return any(path[:end] in reported for end in (*parts, len(path)))


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    # By default cattrs converts scalars, so "1" would be accepted as a number and 0 as a string.
    for expected in _SCALARS:
        converter.register_structure_hook(expected, _structure_scalar)

    @converter.register_structure_hook_factory(attrs.has)
    def object_hook(cls: Any) -> Callable[[Any, Any], Any]:
        structure = make_dict_structure_fn(
            cls, converter, _cattrs_forbid_extra_keys=True, _cattrs_detailed_validation=True
        )

        def hook(value: Any, _: Any) -> Any:
            if not isinstance(value, dict):
                raise TypeError(f"expected an object, got {_excerpt(value)}")
            return structure(value, cls)

        return hook

    @converter.register_structure_hook_factory(_is_tuple)
    def array_hook(cls: Any) -> Callable[[Any, Any], Any]:
        items: Any = types.GenericAlias(list, get_args(cls)[:1])
        structure = converter.get_structure_hook(items)

        def hook(value: Any, _: Any) -> Any:
            if not isinstance(value, list):
                raise TypeError(f"expected an array, got {_excerpt(value)}")
            return tuple(structure(value, items))

        return hook

    return converter


def _is_enum(cls: Any) -> bool:
    return isinstance(cls, type) and issubclass(cls, Enum)


def _is_tuple(cls: Any) -> bool:
    return get_origin(cls) is tuple


def _excerpt(value: Any) -> str:
    text = json.dumps(value)
    return text if len(text) <= 40 else f"{text[:37]}..."


_SCALARS: dict[type, tuple[str, tuple[type, ...]]] = {
    str: ("a string", (str,)),
    bool: ("true or false", (bool,)),
    int: ("a whole number", (int,)),
    float: ("a number", (int, float)),
}


def _structure_scalar(value: Any, cls: Any) -> Any:
    if _is_enum(cls):  # cattrs dispatches a StrEnum as a str
        if value not in list(cls):
            known = ", ".join(sorted(cls))
            raise ValueError(f"expected one of {known}, got {_excerpt(value)}")
        return cls(value)
    name, accepted = _SCALARS[cls]
    if not isinstance(value, accepted) or (isinstance(value, bool) and cls is not bool):
        raise TypeError(f"expected {name}, got {_excerpt(value)}")
    return cls(value)


ValuePath = tuple[str | int, ...]
_REMOVE = object()


def _structure_errors(
    error: BaseException, path: ValuePath
) -> Iterator[tuple[ValuePath, str, Any]]:
    """Yield path, message and expected type of each error; the type is _REMOVE for extra keys."""
    if not isinstance(error, BaseValidationError):
        if isinstance(error, ForbiddenExtraKeysError):
            known = [field.name for field in attrs.fields(error.cl)]  # type: ignore[arg-type]
            for key in sorted(error.extra_fields):
                yield (*path, key), _unknown_key(key, known), _REMOVE
        else:
            expected = _location_note(error).type
            message = "missing" if isinstance(error, KeyError) else str(error)
            yield path, message, expected
        return
    for inner in error.exceptions:
        note = _location_note(inner)
        if isinstance(note, AttributeValidationNote):
            yield from _structure_errors(inner, (*path, note.name))
        elif isinstance(note, IterableValidationNote):
            yield from _structure_errors(inner, (*path, note.index))
        else:
            yield from _structure_errors(inner, path)


def _location_note(error: BaseException) -> Any:
    kinds = (AttributeValidationNote, IterableValidationNote)
    return next((n for n in getattr(error, "__notes__", ()) if isinstance(n, kinds)), None)


def _unknown_key(key: str, known: list[str]) -> str:
    stems = {_without_unit(name): name for name in known}
    if _without_unit(key) in stems:
        return f"unknown key; wrong or missing unit, use {stems[_without_unit(key)]}"
    close_matches = difflib.get_close_matches(key, known, n=1)
    return f"unknown key; did you mean {close_matches[0]}?" if close_matches else "unknown key"


def _without_unit(name: str) -> str:
    stem, _, suffix = name.rpartition("_")
    return stem if suffix in UNIT_SUFFIXES else name


def _path_text(path: ValuePath) -> str:
    text = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    return text.removeprefix(".")


def _repair(data: Any, path: ValuePath, expected: Any) -> None:
    """Replace an invalid value by a placeholder, so that the checks can run on the others."""
    *parents, last = path
    for part in parents:
        data = data[part]
    if expected is _REMOVE:
        del data[last]
    else:
        data[last] = _placeholder(expected)


def _placeholder(expected: Any) -> Any:
    if _is_tuple(expected):
        return []
    if _is_enum(expected):
        return next(iter(expected)).value
    if attrs.has(expected):
        fields = attrs.fields(attrs.resolve_types(expected))
        required = (field for field in fields if field.default is attrs.NOTHING)
        return {field.name: _placeholder(field.type) for field in required}
    return {str: "", bool: False, int: 1, float: 1.0}[expected]


# Checks of entry settings


def _name_problems(path: str, name: str) -> Iterator[SettingsError]:
    if not NAME_PATTERN.fullmatch(name):
        yield problem(path, f"{name!r} must consist of letters, digits, '.', '_' and '-'")


def _entry_name_problems(path: str, name: str) -> Iterator[SettingsError]:
    if "." in name:
        yield problem(path, f"{name!r} contains a dot, which separates the parts of request IDs")
    else:
        yield from _name_problems(path, name)


def _address_problems(path: str, address: str, first_port: int = 1) -> Iterator[SettingsError]:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        yield problem(path, f"expected IP:PORT, got {address!r}")
        return
    if not (port.isascii() and port.isdigit() and first_port <= int(port) <= 65_535):
        yield problem(path, f"port must be from {first_port} to 65535, got {port!r}")


def _duplicate_problems(values: Iterable[tuple[str, str]]) -> Iterator[SettingsError]:
    first: dict[str, str] = {}
    for path, value in values:
        if value and first.setdefault(value, path) != path:
            yield problem(path, f"{value!r} is already at {first[value]}")


def _range_problems(path: str, value: int, low: int, high: int) -> Iterator[SettingsError]:
    if not low <= value <= high:
        yield problem(path, f"must be from {low} to {high}, got {value}")


@ENTRY_CHECKS.register("names")
def check_entry_names(settings: EntrySettings) -> Iterator[SettingsError]:
    """Check that names are valid in request IDs and URLs, and unique."""
    yield from _entry_name_problems("name", settings.name)
    yield from _name_problems("data_centre", settings.data_centre)
    for index, peer in enumerate(settings.peers):
        yield from _entry_name_problems(f"peers[{index}].name", peer.name)
    names = [(f"peers[{index}].name", peer.name) for index, peer in enumerate(settings.peers)]
    yield from _duplicate_problems([("name", settings.name), *names])


@ENTRY_CHECKS.register("addresses")
def check_entry_addresses(settings: EntrySettings) -> Iterator[SettingsError]:
    """Check that addresses are ``IP:PORT`` and unique; only addresses to bind may have port 0."""
    for path in ("client_address", "peer_address"):
        yield from _address_problems(path, getattr(settings, path), first_port=0)
    yield from _address_problems("platform_address", settings.platform_address)
    for path in ("advertised_client_address", "advertised_peer_address"):
        if getattr(settings, path):
            yield from _address_problems(path, getattr(settings, path))
    if settings.source_address:
        try:
            ipaddress.ip_address(settings.source_address)
        except ValueError:
            yield problem("source_address", f"expected an IP, got {settings.source_address!r}")
    peers = [
        (f"peers[{index}].peer_address", peer.peer_address)
        for index, peer in enumerate(settings.peers)
    ]
    for path, address in peers:
        yield from _address_problems(path, address)
    own = [(path, getattr(settings, path)) for path in ("client_address", "peer_address")]
    fixed = [(path, address) for path, address in own if not address.endswith(":0")]
    platform = ("platform_address", settings.platform_address)
    yield from _duplicate_problems([*fixed, platform, *peers])


@ENTRY_CHECKS.register("advertised addresses")
def check_advertised_addresses(settings: EntrySettings) -> Iterator[SettingsError]:
    """Check that an entry VM bound to all interfaces advertises an address."""
    for side in ("client", "peer"):
        bound = getattr(settings, f"{side}_address")
        path = f"advertised_{side}_address"
        if bound.rpartition(":")[0] in ("0.0.0.0", "[::]") and not getattr(settings, path):
            yield problem(path, f"needed, because others cannot connect to {bound}")


@ENTRY_CHECKS.register("choices")
def check_entry_choices(settings: EntrySettings) -> Iterator[SettingsError]:
    """Check that the log level and the metrics exporter exist."""
    if settings.log_level not in LOG_LEVELS:
        known = ", ".join(LOG_LEVELS)
        yield problem("log_level", f"unknown level {settings.log_level!r}; known: {known}")
    if settings.metrics_exporter not in METRICS_EXPORTERS:
        known = ", ".join(METRICS_EXPORTERS)
        name = settings.metrics_exporter
        yield problem("metrics_exporter", f"unknown exporter {name!r}; known: {known}")


@ENTRY_CHECKS.register("durations")
def check_entry_durations(settings: EntrySettings) -> Iterator[SettingsError]:
    """Check durations on which guarantees and the append rate of the log depend."""
    yield from _range_problems("shutdown_timeout_ms", settings.shutdown_timeout_ms, 1, 3_600_000)
    # Below two heartbeat periods, one lost heartbeat would make the view too old.
    yield from _range_problems(
        "key_freshness_ms",
        settings.key_freshness_ms,
        2 * defaults.HEARTBEAT_PERIOD_MS,
        defaults.KEY_FRESHNESS_MS,
    )
    yield from _range_problems(
        "flush_window_ms", settings.flush_window_ms, 1, defaults.FLUSH_WINDOW_SLOW_MS
    )


# Checks of fleet configurations


@FLEET_CHECKS.register("names")
def check_fleet_names(config: FleetConfig) -> Iterator[SettingsError]:
    """Check that names are valid in URLs and unique within their kind."""
    for kind in ("queues", "teams", "pools", "vms"):
        names = [(f"{kind}[{i}].name", item.name) for i, item in enumerate(getattr(config, kind))]
        for path, name in names:
            yield from _name_problems(path, name)
        yield from _duplicate_problems(names)


@FLEET_CHECKS.register("references")
def check_fleet_references(config: FleetConfig) -> Iterator[SettingsError]:
    """Check that the pools of queues and VMs exist."""
    pools = {pool.name for pool in config.pools}
    for kind in ("queues", "vms"):
        for index, item in enumerate(getattr(config, kind)):
            if item.pool not in pools:
                close_matches = difflib.get_close_matches(item.pool, pools, n=1)
                hint = f"; did you mean {close_matches[0]}?" if close_matches else ""
                yield problem(f"{kind}[{index}].pool", f"unknown pool {item.pool!r}{hint}")


@FLEET_CHECKS.register("addresses")
def check_fleet_addresses(config: FleetConfig) -> Iterator[SettingsError]:
    """Check that VMs have unique ``IP:PORT`` addresses."""
    addresses = [(f"vms[{index}].address", vm.address) for index, vm in enumerate(config.vms)]
    for path, address in addresses:
        yield from _address_problems(path, address)
    yield from _duplicate_problems(addresses)


@FLEET_CHECKS.register("budgets")
def check_fleet_budgets(config: FleetConfig) -> Iterator[SettingsError]:
    """Check that availability budgets can be met and let a wave make progress."""
    vm_counts = Counter(vm.pool for vm in config.vms)
    for index, pool in enumerate(config.pools):
        path = f"pools[{index}]"
        if pool.max_unavailable_count < 1:
            message = (
                f"must be at least 1, got {pool.max_unavailable_count}: no VM could ever be stopped"
            )
            yield problem(f"{path}.max_unavailable_count", message)
        if not 0 <= pool.min_available_count <= vm_counts[pool.name]:
            message = (
                f"must be from 0 to the pool's {vm_counts[pool.name]} VMs,"
                f" got {pool.min_available_count}"
            )
            yield problem(f"{path}.min_available_count", message)


@FLEET_CHECKS.register("teams")
def check_fleet_teams(config: FleetConfig) -> Iterator[SettingsError]:
    """Check that teams have a positive share and may run at least one job."""
    for index, team in enumerate(config.teams):
        if not (math.isfinite(team.share_weight) and team.share_weight > 0):
            message = f"must be a number above 0, got {team.share_weight}"
            yield problem(f"teams[{index}].share_weight", message)
        if team.upper_limit_count < 1:
            message = f"must be at least 1, got {team.upper_limit_count}"
            yield problem(f"teams[{index}].upper_limit_count", message)


@FLEET_CHECKS.register("sizes")
def check_fleet_sizes(config: FleetConfig) -> Iterator[SettingsError]:
    """Check that queues can hold at least one job and VMs can run at least one."""
    minimums = {
        "queues": {"waiting_limit_count": 1},
        "vms": {
            "slot_count": 1,
            "connection_count": 1,
            "processor_count": 1,
            "memory_gb": 1,
            "accelerator_count": 0,
        },
    }
    for kind, fields in minimums.items():
        for index, item in enumerate(getattr(config, kind)):
            for name, low in fields.items():
                value = getattr(item, name)
                if value < low:
                    path = f"{kind}[{index}].{name}"
                    yield problem(path, f"must be at least {low}, got {value}")


@FLEET_CHECKS.register("policies")
def check_fleet_policies(config: FleetConfig) -> Iterator[SettingsError]:
    """Check that policies are registered."""
    for field, registry in POLICY_REGISTRIES.items():
        name = getattr(config.policies, field)
        if name not in registry:
            known = ", ".join(sorted(registry))
            yield problem(f"policies.{field}", f"unknown {registry.kind} {name!r}; known: {known}")
