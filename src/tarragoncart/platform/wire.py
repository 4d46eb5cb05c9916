"""JSON encoding of the bodies on the platform's interfaces, and typed access to their fields."""

from __future__ import annotations

import json
from typing import Any

_encoder = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)


def dump_json(value: Any) -> bytes:
    """Encode a body as JSON without whitespace."""
    return _encoder.encode(value).encode()


def load_json(body: bytes) -> Any:
    """Decode a JSON body.

    :raises ValueError: if it is not valid JSON.
    """
    return json.loads(body)


def get_int(data: Any, name: str, default: int = 0) -> int:
    """Return a number field as an integer.

    :raises ValueError: if the field has another type.
    """
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is not a number: {value!r}")
    return int(value)


def get_str(data: Any, name: str, default: str = "") -> str:
    """Return a string field.

    :raises ValueError: if the field has another type.
    """
    value = data.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} is not a string: {value!r}")
    return value


def get_bool(data: Any, name: str) -> bool:
    """Return a boolean field, False if it is missing.

    :raises ValueError: if the field has another type.
    """
    value = data.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not a boolean: {value!r}")
    return value
