"""The ``tarragoncart`` command.

Exit status: 0 success, 1 request refused or not completed, 2 invalid arguments or files.
"""

from __future__ import annotations

import getpass
import importlib
import json
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer
from typer.core import TyperGroup

from . import audit, defaults, operator_api, placequery, settings
from .errors import RequestError, SettingsError
from .model import FleetConfig
from .operator_api import Operator, Withdrawal

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
key_app = typer.Typer(no_args_is_help=True, help="Grant and withdraw keys of teams.")
wave_app = typer.Typer(no_args_is_help=True, help="Manage maintenance waves.")


class ExplainGroup(TyperGroup):
    """Group whose command ``about`` need not be named: ``explain job ID`` stays valid."""

    def parse_args(self, ctx: Any, args: list[str]) -> list[str]:
        """Insert the name of the command that is left out."""
        if args and args[0] not in (*self.commands, *ctx.help_option_names):
            args = ["about", *args]
        return super().parse_args(ctx, args)


explain_app = typer.Typer(
    cls=ExplainGroup,
    no_args_is_help=True,
    help="Explain what happened (job|vm|team ID), or where a job would be placed (place).",
)
app.add_typer(explain_app, name="explain")
app.add_typer(key_app, name="key")
app.add_typer(wave_app, name="wave")

Entries = Annotated[
    list[str],
    typer.Option(
        "--entry", envvar="TARRAGONCART_ENTRY", help="IP:PORT of an entry VM; may be repeated."
    ),
]


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # Containers often have no entry for the user ID.
        return "operator"


Author = Annotated[
    str,
    typer.Option(
        "--author",
        envvar="TARRAGONCART_AUTHOR",
        default_factory=_user,
        help="Name recorded in the audit trail.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print the entry VM's response as JSON.")]


def main() -> None:
    """Run the command."""
    app()


@contextmanager
def _exit_on_error() -> Iterator[None]:
    """Print the errors raised within on standard error and exit with their status."""
    try:
        yield
    except* SettingsError as group:
        found: list[Any] = list(group.exceptions)
    except* RequestError as group:  # type: ignore[assignment]
        found = list(group.exceptions)
    else:
        return
    for item in found:
        if isinstance(item, SettingsError):
            typer.echo(f"{item.peer}: {item.message}", err=True)
        else:
            limit = f", limit {item.limit}" if item.limit else ""
            typer.echo(f"{item.code}: {item}{limit}", err=True)
    raise typer.Exit(2 if isinstance(found[0], SettingsError) else 1)


def _call_entry(
    entries: Sequence[str], author: str, work: Callable[[Operator], Awaitable[Any]]
) -> Any:
    with _exit_on_error():
        return operator_api.run(entries, author, work)


def _print_json(data: Any) -> None:
    typer.echo(json.dumps(data, indent=2))


def _print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    lines = [list(header), *([str(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        typer.echo("  ".join(cells).rstrip())


@app.command()
def entry(path: Annotated[Path, typer.Argument(metavar="SETTINGS")]) -> None:
    """Run an entry VM until SIGTERM or SIGINT."""
    with _exit_on_error():
        entry_settings = settings.load_entry_settings(path)
    # The daemon imports the whole server, which the operators' commands do not need.
    importlib.import_module("tarragoncart.daemon").run(entry_settings)


@app.command()
def check(path: Annotated[Path, typer.Argument(metavar="FILE")]) -> None:
    """Check a settings file or a fleet configuration and print every error with its path."""
    with _exit_on_error():
        data = settings.read_file(path)
        sections = {field.name for field in attrs.fields(FleetConfig)}
        if isinstance(data, dict) and sections & set(data):
            config = settings.parse_fleet_config(data)
            counts = (f"{len(getattr(config, s))} {s}" for s in ("queues", "teams", "pools", "vms"))
            typer.echo(f"{path}: fleet configuration with {', '.join(counts)}")
        else:
            name = settings.parse_entry_settings(data).name
            typer.echo(f"{path}: settings of entry VM {name}")


@app.command()
def publish(
    path: Annotated[Path, typer.Argument(metavar="FILE")],
    entries: Entries,
    author: Author,
    base_version: Annotated[
        int | None,
        typer.Option(help="Version that the file replaces; the one in force by default."),
    ] = None,
) -> None:
    """Check a fleet configuration and put it in force."""
    with _exit_on_error():
        config = settings.load_fleet_config(path)
    answer = _call_entry(entries, author, lambda operator: operator.publish(config, base_version))
    typer.echo(f"version {answer['version']} at offset {answer['offset']}")


@key_app.command("grant")
def grant_key(
    team: str,
    entries: Entries,
    author: Author,
    cutoff_grace_s: Annotated[
        float,
        typer.Option(min=0, help="How much longer an entry VM that is cut off accepts the key."),
    ] = 0.0,
) -> None:
    """Grant a key to a team; the key is shown only once."""
    answer = _call_entry(entries, author, lambda operator: operator.grant_key(team, cutoff_grace_s))
    typer.echo(f"key     {answer['key']}\nkey ID  {answer['key_id']}")


@key_app.command("withdraw")
def withdraw_key(
    key_id: str,
    entries: Entries,
    author: Author,
    timeout_s: Annotated[
        float, typer.Option(min=0, help="Longest wait until all entry VMs refuse the key.")
    ] = 30.0,
) -> None:
    """Withdraw a key and wait until no entry VM accepts it."""

    def report(progress: Withdrawal) -> None:
        if progress.missing:
            typer.echo(f"waiting for {', '.join(progress.missing)}")

    progress = _call_entry(
        entries, author, lambda operator: operator.withdraw_key(key_id, timeout_s, report)
    )
    if not progress.complete:
        names = ", ".join(progress.missing) or "the log"
        typer.echo(f"not complete after {timeout_s:g} s; missing: {names}", err=True)
        raise typer.Exit(1)
    typer.echo("withdrawn everywhere")


@app.command()
def pools(entries: Entries, author: Author, as_json: AsJson = False) -> None:
    """Show the pools with their availability budgets."""
    state = _call_entry(entries, author, Operator.status)
    if as_json:
        _print_json(state["pools"])
    else:
        _print_pools(state["pools"])


def _print_pools(items: dict[str, dict[str, Any]]) -> None:
    columns = ("vm_count", "unavailable_count", "max_unavailable_count")
    _print_table(("pool", "vms", "unavailable", "max_unavailable"), _rows(items, columns))


@app.command()
def status(entries: Entries, author: Author, as_json: AsJson = False) -> None:
    """Show entry VMs, teams, pools and waves as the entry VM that answers sees them."""
    state = _call_entry(entries, author, Operator.status)
    if as_json:
        _print_json(state)
        return
    typer.echo(
        f"{state['name']} in {state['data_centre']}: {state['state']},"
        f" configuration {state['config_version']}, offset {state['offset']},"
        f" view {state['age_ms']} ms old\n"
    )
    columns: tuple[str, ...] = ("name", "data_centre", "offset", "silent_ms")
    members = ([member[column] for column in columns] for member in state["members"])
    _print_table(("entry", "data_centre", "offset", "silent_ms"), members)
    typer.echo()
    columns = ("limit_count", "rights_count", "running_count", "waiting_count")
    header = ("team", "limit", "rights", "running", "waiting")
    _print_table(header, _rows(state["teams"], columns))
    typer.echo()
    _print_pools(state["pools"])
    for name, wave in state.get("waves", {}).items():
        typer.echo(f"wave {name}: {json.dumps(wave)}")
    for name, vm in state.get("vms", {}).items():
        typer.echo(f"vm {name}: {json.dumps(vm)}")


def _rows(items: dict[str, dict[str, Any]], columns: Sequence[str]) -> Iterator[list[Any]]:
    for name, item in sorted(items.items()):
        yield [name, *(item[column] for column in columns)]


@explain_app.command("about")
def explain(
    kind: Annotated[str, typer.Argument(help=" | ".join(audit.EXPLAINED_KINDS))],
    name: Annotated[str, typer.Argument(metavar="ID")],
    entries: Entries,
    author: Author,
    as_json: AsJson = False,
) -> None:
    """Show what happened to a job, a VM or a team, and why."""
    if kind not in audit.EXPLAINED_KINDS:
        raise typer.BadParameter(f"kind must be one of {', '.join(audit.EXPLAINED_KINDS)}")
    found = _call_entry(entries, author, lambda operator: operator.explain(kind, name))
    if as_json:
        _print_json(found)
        return
    for item in found:
        typer.echo(audit.describe_entry(audit.entry_from_json(item)))
    if not found:
        typer.echo(f"the log has no entries about {kind} {name}", err=True)
        raise typer.Exit(1)


@explain_app.command("place")
def explain_place(
    peer: Annotated[str, typer.Option(metavar="IP:PORT", help="Peer address of an entry VM.")],
    job: Annotated[str, typer.Option(help="ID of an accepted job.")] = "",
    file: Annotated[
        Path | None, typer.Option(help="Job as callers submit it; it is not submitted.")
    ] = None,
    queue: Annotated[str, typer.Option(help="Queue of the job in the file.")] = "",
    account: Annotated[str, typer.Option(help="Account of the job in the file.")] = "",
    as_json: AsJson = False,
) -> None:
    """Show where the tasks of a job would be placed now, and what each upstream lacks."""
    if bool(job) == bool(file) or bool(file) != bool(queue):
        raise typer.BadParameter("either --job, or --file with --queue")
    with _exit_on_error():
        if file is not None:
            params = placequery.query_of_file(file, queue, account)
        else:
            params = placequery.query_of_job(job)
        found = placequery.fetch(peer, params)
    if as_json:
        _print_json(found)
        return
    for line in placequery.describe(found):
        typer.echo(line)


@wave_app.command("start")
def start_wave(
    wave: str,
    pool_names: Annotated[list[str], typer.Argument(metavar="POOL...")],
    entries: Entries,
    author: Author,
) -> None:
    """Start a maintenance wave over all VMs of the pools."""
    _print_json(
        _call_entry(entries, author, lambda operator: operator.start_wave(wave, pool_names))
    )


@wave_app.command("resume")
def resume_wave(wave: str, entries: Entries, author: Author) -> None:
    """Resume a wave that halted because VMs did not return to service."""
    _print_json(
        _call_entry(entries, author, lambda operator: operator.control_wave(wave, "resume"))
    )


@wave_app.command("cancel")
def cancel_wave(wave: str, entries: Entries, author: Author) -> None:
    """Cancel a wave; no further VMs are taken out of service."""
    _print_json(
        _call_entry(entries, author, lambda operator: operator.control_wave(wave, "cancel"))
    )


@app.command()
def move(vm: str, pool: str, entries: Entries, author: Author) -> None:
    """Move a VM to another pool once it has drained."""
    _print_json(_call_entry(entries, author, lambda operator: operator.move_vm(vm, pool)))


@app.command()
def submit(
    queue: str,
    entries: Entries,
    key: Annotated[str, typer.Option(envvar="TARRAGONCART_KEY", help="The team's key.")] = "",
    payload: Annotated[str, typer.Option(help="JSON document for the worker.")] = "{}",
    deadline_ms: Annotated[int, typer.Option(min=1)] = defaults.DEADLINE_DEFAULT_MS,
    declared_run_ms: Annotated[int, typer.Option(min=0)] = 0,
) -> None:
    """Submit one job to try out a queue; services use the client library instead."""
    try:
        decoded = json.loads(payload)
    except ValueError as error:
        raise typer.BadParameter(f"payload is not JSON: {error}") from None
    _print_json(
        _call_entry(
            entries,
            "",
            lambda operator: operator.submit(
                queue, decoded, key=key, deadline_ms=deadline_ms, declared_run_ms=declared_run_ms
            ),
        )
    )
