"""Encoding of bodies on the platform's interfaces."""

from __future__ import annotations

import json
from typing import Any

_encoder = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)


def dump_json(value: Any) -> bytes:
    """Encode a body without spaces."""
    return _encoder.encode(value).encode()


def load_json(body: bytes) -> Any:
    """Decode a body.

    :raises ValueError: if it is no JSON.
    """
    return json.loads(body)


def whole(data: Any, name: str, default: int = 0) -> int:
    """Return a whole number field.

    :raises ValueError: if the field has another type.
    """
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number: {value!r}")
    return int(value)


def text(data: Any, name: str, default: str = "") -> str:
    """Return a string field.

    :raises ValueError: if the field has another type.
    """
    value = data.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} is no text: {value!r}")
    return value


def flag(data: Any, name: str) -> bool:
    """Return a boolean field, false if it is left out.

    :raises ValueError: if the field has another type.
    """
    value = data.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is no boolean: {value!r}")
    return value
