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
