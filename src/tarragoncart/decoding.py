"""Decoding of bytes that others have written: records of the store, responses and requests.

Decoders are functions with the decorator :func:`decoder`. For bytes that they cannot use, whatever
these are, they raise :class:`DecodeError`, so that a caller skips or refuses just that.
"""

from __future__ import annotations

import functools
import logging
import re
from collections.abc import Callable
from typing import Any, TypeVar, cast

import msgspec
from attrs import define, field

from . import metrics
from .errors import DecodeError
from .registry import Registry

logger = logging.getLogger(__name__)

T = TypeVar("T")
F = TypeVar("F", bound=Callable[..., Any])

# Largest integer that all JSON implementations represent exactly.
INT_MAX = 2**53 - 1
FLOAT_MAX = 1e15
# 2100-01-01. A later time would make all true times look outdated.
UNIX_MS_MAX = 4_102_444_800_000
PORT_MAX = 65_535
# Length of a value as quoted in an error.
QUOTED_LENGTH_MAX = 60
# Number of keys of a source that are logged one by one; all are counted.
LOGGED_KEYS_COUNT = 200
# Longest decimal number in a header or a path.
DECIMAL_DIGITS_MAX = 15

_ADDRESS = re.compile(r"(?:[0-9A-Za-z.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
_IDENTIFIER = re.compile(r"[0-9A-Za-z_-]{1,64}")

# What the functions of this module and a decoder's own code raise for unusable data.
_FAILURES = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
    msgspec.MsgspecError,
)

DECODERS: Registry[Callable[..., Any]] = Registry("decoder")


def decoder(name: str) -> Callable[[F], F]:
    """Register a function as the decoder ``name``, which raises nothing but :class:`DecodeError`.

    :param name: what it decodes, for errors.
    """

    def decorate(function: F) -> F:
        @functools.wraps(function)
        def decode(*args: Any) -> Any:
            try:
                return function(*args)
            except DecodeError as error:
                error.step = f"decode {name}"
                raise
            except _FAILURES as error:
                reason = f"{type(error).__name__}: {str(error)[:QUOTED_LENGTH_MAX]}"
                raise DecodeError(reason, step=f"decode {name}") from error

        DECODERS.register(name)(decode)
        return cast(F, decode)

    return decorate


def parse_json(body: bytes) -> Any:
    """Decode a JSON document: finite numbers, valid Unicode, limited nesting.

    :raises DecodeError: for anything else.
    """
    try:
        return msgspec.json.decode(body)
    except RecursionError as error:
        raise DecodeError("nested too deeply") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise DecodeError(f"not valid JSON: {str(error)[:QUOTED_LENGTH_MAX]}") from error


def parse_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    :raises DecodeError: for anything else.
    """
    return check_object(parse_json(body))


def parse_decimal(text: str) -> int | None:
    """Return a decimal number of a header or a path, None if the text is something else."""
    if len(text) > DECIMAL_DIGITS_MAX or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def is_identifier(text: str) -> bool:
    """Return whether a text can be an ID in keys of the store and in names of tasks."""
    return _IDENTIFIER.fullmatch(text) is not None


def _quote(value: Any) -> str:
    """Quote a value in an error; of containers only the type, as they may be deeply nested."""
    if isinstance(value, str | int | float):
        return repr(value)[:QUOTED_LENGTH_MAX]
    return f"a {type(value).__name__}"


def check_object(value: Any, place: str = "") -> dict[str, Any]:
    """Return a value that must be a JSON object.

    :param place: path of the value in its document, for errors.
    :raises DecodeError: for another type.
    """
    if not isinstance(value, dict):
        raise DecodeError(f"not an object: {_quote(value)}", place=place)
    return value


def check_list(value: Any, place: str = "") -> list[Any]:
    """Return a value that must be a JSON array.

    :raises DecodeError: for another type.
    """
    if not isinstance(value, list):
        raise DecodeError(f"not a list: {_quote(value)}", place=place)
    return value


def check_int(value: Any, place: str = "", low: int = 0, high: int = INT_MAX) -> int:
    """Return a value that must be a whole number from ``low`` to ``high``.

    :raises DecodeError: for another type, or if it is out of range.
    """
    number = check_float(value, place, low, high)
    if number != int(number):
        raise DecodeError(f"not a whole number: {_quote(value)}", place=place)
    return int(number)


def check_float(
    value: Any, place: str = "", low: float = 0.0, high: float = FLOAT_MAX
) -> int | float:
    """Return a value that must be a number from ``low`` to ``high``.

    :raises DecodeError: for another type, or if it is out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"not a number: {_quote(value)}", place=place)
    if not low <= value <= high:
        raise DecodeError(f"not from {low} to {high}: {_quote(value)}", place=place)
    return value


def check_str(value: Any, place: str = "") -> str:
    """Return a value that must be a string.

    :raises DecodeError: for another type.
    """
    if not isinstance(value, str):
        raise DecodeError(f"not a string: {_quote(value)}", place=place)
    return value


def check_bool(value: Any, place: str = "") -> bool:
    """Return a value that must be a boolean.

    :raises DecodeError: for another type.
    """
    if not isinstance(value, bool):
        raise DecodeError(f"not a boolean: {_quote(value)}", place=place)
    return value


def check_address(value: Any, place: str = "") -> str:
    """Return a value that must be ``HOST:PORT`` with a port to which one can connect.

    :raises DecodeError: for anything else.
    """
    match = _ADDRESS.fullmatch(check_str(value, place))
    if match is None or not 1 <= int(match[1]) <= PORT_MAX:
        raise DecodeError(f"not an address: {_quote(value)}", place=place)
    return value


def get_int(
    data: dict[str, Any], name: str, default: int = 0, low: int = 0, high: int = INT_MAX
) -> int:
    """Return a number field without its fraction.

    :raises DecodeError: if the field has another type or is out of range.
    """
    return int(check_float(data.get(name, default), name, low, high))


def get_float(data: dict[str, Any], name: str, default: float = 0.0) -> float:
    """Return a number field that is not negative.

    :raises DecodeError: if the field has another type or is out of range.
    """
    return float(check_float(data.get(name, default), name))


def get_str(data: dict[str, Any], name: str, default: str = "") -> str:
    """Return a string field.

    :raises DecodeError: if the field has another type.
    """
    return check_str(data.get(name, default), name)


def get_bool(data: dict[str, Any], name: str) -> bool:
    """Return a boolean field, False if it is missing.

    :raises DecodeError: if the field has another type.
    """
    return check_bool(data.get(name, False), name)


def get_object(data: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object field, an empty one if it is missing or null.

    :raises DecodeError: if the field has another type.
    """
    value = data.get(name)
    return {} if value is None else check_object(value, name)


def get_items(data: dict[str, Any], name: str, check: Callable[[Any], T]) -> tuple[T, ...]:
    """Return a list field with each element decoded; an empty one if it is missing or null.

    :param check: decodes an element.
    :raises DecodeError: if the field is no list, or an element is malformed; the place names it.
    """
    value = data.get(name)
    if value is None:
        return ()
    items = []
    for number, item in enumerate(check_list(value, name)):
        try:
            items.append(check(item))
        except DecodeError as error:
            error.place = f"{name}[{number}].{error.place}".rstrip(".")
            raise
    return tuple(items)


@define
class MalformedLog:
    """Counts records that could not be decoded and logs the first one of each key.

    :param source: name of the reader, an attribute of the counter.
    """

    source: str
    _keys: set[str] = field(factory=set, init=False)

    def add(self, key: str, error: DecodeError, offset: int | None = None) -> None:
        """Note a record that was skipped."""
        metrics.MALFORMED.add(1, metrics.labels(source=self.source))
        if key in self._keys or len(self._keys) >= LOGGED_KEYS_COUNT:
            return
        self._keys.add(key)
        logger.warning(
            "record skipped",
            extra={
                "source": self.source,
                "key": key,
                "offset": offset,
                "place": error.place,
                "reason": str(error),
            },
        )
