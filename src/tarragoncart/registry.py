"""Registries of named entries, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .errors import RegistryError

T = TypeVar("T")


class Registry(Generic[T]):
    """A mapping from names to functions or classes.

    :param kind: kind of the entries, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``.

        :raises RegistryError: if the name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise RegistryError(f"{self.kind} {name!r} is registered twice", step="register")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry registered under a name.

        :raises RegistryError: if there is none; the message lists the known names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries))
            raise RegistryError(
                f"unknown {self.kind} {name!r}; known: {known}", step="look up"
            ) from None

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def items(self) -> list[tuple[str, T]]:
        """Return all names and entries, in order of registration."""
        return list(self._entries.items())
