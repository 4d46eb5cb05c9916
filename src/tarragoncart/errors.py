"""Exceptions; each carries the operation that failed and the peer involved."""

from __future__ import annotations


class TarragoncartError(Exception):
    """Base of all errors.

    :param message: description of the error, in one sentence.
    :param step: operation that failed.
    :param peer: address or name of the remote side, empty if there is none.
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
    """A state chart is missing or inconsistent, or a state does not accept an event."""


class SettingsError(TarragoncartError):
    """One error in a settings file or a configuration; ``peer`` is the path of the value."""


class RegistryError(TarragoncartError):
    """A registry has no entry with a name, or already has one."""


class RecordError(TarragoncartError):
    """A log record cannot be decoded."""


class DecodeError(TarragoncartError, ValueError):
    """Bytes that another program has written cannot be used.

    :param place: path of the unusable value in its document, empty for the whole.
    """

    def __init__(self, reason: str, *, place: str = "", step: str = "decode") -> None:
        super().__init__(reason, step=step, peer=place)

    @property
    def place(self) -> str:
        """Path of the unusable value in its document."""
        return self.peer

    @place.setter
    def place(self, place: str) -> None:
        self.peer = place


class LogUnavailableError(TarragoncartError):
    """The log refused a call or did not answer in time."""


class InboxFullError(TarragoncartError):
    """An actor's inbox has reached its limit."""


class RequestError(TarragoncartError):
    """A request was refused or not confirmed; holds the error that the client receives.

    :param code: stable, machine-readable error code.
    :param status: HTTP status of the response.
    :param limit: name of the limit that was reached, empty if none.
    :param retry_after_s: when a repetition may be accepted; None if that is not known.
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
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.status = status
        self.limit = limit
        self.retry_after_s = retry_after_s


class StoreRefusedError(TarragoncartError):
    """The store refused a call, which had no effect."""


class StoreRejectedError(StoreRefusedError):
    """The store can never accept a call as it is; to repeat it unchanged is of no use."""


class StoreUnknownError(TarragoncartError):
    """The store did not answer; the call may have taken effect or may still do so."""


class StoreConflictError(TarragoncartError):
    """The store refused a conditional call because another writer came first.

    :param reason: ``fenced`` for a higher epoch, ``seq`` for a gap in the sequence numbers,
        ``end`` for another end offset.
    :param expected: sequence number or end offset that the store expects.
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
    """An upstream did not answer; the call may have taken effect or may still do so."""


class UpstreamUnreachableError(TarragoncartError):
    """No connection to an upstream could be opened; the call was not sent."""


class FleetRefusedError(TarragoncartError):
    """The platform refused an order for a VM, which had no effect.

    :param reason: ``fence``, ``busy``, ``wave`` or ``status CODE``.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        super().__init__(f"refused: {reason}", step=step, peer=peer)
        self.reason = reason


class FleetUnknownError(TarragoncartError):
    """The platform did not answer an order for a VM; it may have been carried out."""


class PeerError(TarragoncartError):
    """Another entry VM did not answer, or is not the leader."""


class AdviceError(TarragoncartError):
    """The advice service did not answer, or is busy."""
