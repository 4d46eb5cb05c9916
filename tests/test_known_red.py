"""Tests of the list of known failures, with pytest in a process of its own."""

from __future__ import annotations

import subprocess
import sys

import pytest

TESTS = """
def test_sound():
    pass


def test_faulty():
    assert False
"""


@pytest.fixture
def run_listed(tmp_path):
    """Return a function that runs two tests, one of which fails, with a list of failures."""
    (tmp_path / "test_it.py").write_text(TESTS)

    def run(list_text):
        (tmp_path / "red.txt").write_text(list_text)
        options = ("-p", "bench.known_red", "--known-red", "red.txt", "-p", "no:cacheprovider")
        command = [sys.executable, "-m", "pytest", *options, "test_it.py"]
        return subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60)

    return run


def test_a_listed_failure_is_passed_over_and_printed(run_listed):
    """Guards against a CI run that a known failure stops, or that hides it."""
    ended = run_listed("test_it.py::test_faulty seed 1: AssertionError. Issue 17.\n")
    assert ended.returncode == 0
    assert "known failure, failed in this run: test_it.py::test_faulty seed 1" in ended.stdout


@pytest.mark.parametrize("list_text", ["", "test_it.py::test_sound flaky. Issue 17.\n"])
def test_a_failure_that_is_not_listed_fails_the_run(run_listed, list_text):
    """Guards against a list that covers more than the tests it names."""
    assert run_listed(list_text).returncode == 1


@pytest.mark.parametrize("list_text", ["test_it.py::test_gone. Issue 1.\n", "make: it fails\n"])
def test_an_entry_without_a_test_fails_the_run(run_listed, list_text):
    """Guards against an entry that outlives its test."""
    assert run_listed(list_text).returncode not in (0, 1)
