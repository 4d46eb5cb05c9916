"""Exceptions. Each carries the step that failed and the peer involved."""

from __future__ import annotations


class TarragoncartError(Exception):
    """Base of all errors.

    :param message: what went wrong, in one sentence.
    :param step: the operation during which it happened.
    :param peer: address or name of the other side, empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} {self.peer}".strip()
        return f"{self.message} [{where}]"


class ChartError(TarragoncartError):
    """A chart file is inconsistent, or a state does not accept an event."""


class SettingsError(TarragoncartError):
    """One problem in a settings file or a configuration; ``peer`` holds its path."""


class RegistryError(TarragoncartError):
    """A registry has no entry of that name."""


class RecordError(TarragoncartError):
    """A log record cannot be decoded."""


class LogUnavailableError(TarragoncartError):
    """The log refused a call or did not answer in time."""


class InboxFullError(TarragoncartError):
    """An actor's inbox has reached its bound."""


class RequestError(TarragoncartError):
    """A caller's request is refused without having run.

    :param code: stable error code, for programs.
    :param status: HTTP status to answer with.
    :param limit: name of the limit that was met, empty if none.
    """

    def __init__(
        self,
        message: str,
        *,
        code: str,
        status: int,
        step: str,
        peer: str = "",
        limit: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.status = status
        self.limit = limit


class StoreRefusedError(TarragoncartError):
    """The store turned a call away; nothing was done."""


class StoreUnknownError(TarragoncartError):
    """The store did not answer; the call may have taken effect or may do so later."""


class StoreConflictError(TarragoncartError):
    """The store refused a conditional call because another writer was first.

    :param reason: ``fenced`` for a higher epoch, ``seq`` for a gap, ``end`` for another end.
    :param expected: the sequence number or the end that the store has.
    """

    def __init__(self, reason: str, expected: int, *, step: str, peer: str = "") -> None:
        super().__init__(f"conflict: {reason}", step=step, peer=peer)
        self.reason = reason
        self.expected = expected


class UpstreamRefusedError(TarragoncartError):
    """An upstream answered a call with a refusal; nothing was started.

    :param reason: ``fence``, ``old``, ``late``, ``room``, ``ticket``, ``instance``, ``invalid``
        or ``unhealthy``.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        super().__init__(f"refused: {reason}", step=step, peer=peer)
        self.reason = reason


class UpstreamUnknownError(TarragoncartError):
    """An upstream did not answer; the call may have taken effect or may do so later."""


class UpstreamUnreachableError(TarragoncartError):
    """No connection to an upstream could be opened; the call was not sent."""


class FleetRefusedError(TarragoncartError):
    """The platform refused an order for a VM; nothing was done.

    :param reason: ``fence``, ``busy``, ``wave`` or the status.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        super().__init__(f"refused: {reason}", step=step, peer=peer)
        self.reason = reason


class FleetUnknownError(TarragoncartError):
    """The platform did not answer an order for a VM; it may have been carried out."""


class PeerError(TarragoncartError):
    """Another entry VM did not answer, or does not lead."""


class AdviceError(TarragoncartError):
    """The advice service did not answer, or is busy."""
