"""JSON encoding of the bodies on the platform's interfaces."""

from __future__ import annotations

from typing import Any

import msgspec

_encoder = msgspec.json.Encoder()


def dump_json(value: Any) -> bytes:
    """Encode a body as JSON without whitespace."""
    return _encoder.encode(value)
