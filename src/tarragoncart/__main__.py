"""Entry point of ``python -m tarragoncart``."""

from .cli import main

main()
