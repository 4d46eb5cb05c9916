"""Entry point of ``python -m tarragoncart`` and of the ``tarragoncart`` command."""

from __future__ import annotations

import importlib
import os
import sys


def main() -> None:
    """Run the command; an entry VM starts without loading the command line's modules."""
    match sys.argv[1:]:
        case ["entry", path] if not path.startswith("-"):
            run_entry(path)
        case ["node", *options]:
            run_node(options)
        case _:
            importlib.import_module("tarragoncart.cli").main()


def _skip_certificates() -> None:
    # An entry VM makes no TLS connections, but importing aiohttp loads the system's certificates,
    # which takes 1.5 MiB.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)


def run_node(options: list[str]) -> None:
    """Run an entry VM on the platform, with settings that the platform provides.

    :param options: command-line options that select policies.
    """
    _skip_certificates()
    importlib.import_module("tarragoncart.platform.main").main(options)


def run_entry(path: str) -> None:
    """Run an entry VM without loading ``typer`` and the operators' client.

    :param path: settings file.
    """
    _skip_certificates()
    settings = importlib.import_module("tarragoncart.settings")
    try:
        loaded = settings.load_entry_settings(path)
    except ExceptionGroup:
        # The command line reports the errors and sets the exit status.
        importlib.import_module("tarragoncart.cli").main()
        return
    importlib.import_module("tarragoncart.daemon").run(loaded)


if __name__ == "__main__":
    main()
