# Every target does its own set-up: a virtual environment with the locked dependencies.
PYTHON ?= python3
SEED ?= 1
VENV := .venv
STAMP := $(VENV)/.installed
RUN := $(VENV)/bin/python

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $(STAMP)

.PHONY: setup demo test lint format prove measure model
setup: $(STAMP)

demo: $(STAMP)
	$(RUN) -m bench.demo --seed $(SEED)

# CI passes the list of known failures; without it they count like any other.
test: $(STAMP)
	$(RUN) -m pytest $(if $(KNOWN_RED),-p bench.known_red --known-red $(KNOWN_RED))

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet src tests
	$(VENV)/bin/ruff check src tests
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/black --quiet src tests
	$(VENV)/bin/ruff check --fix --quiet src tests

prove: $(STAMP)
	$(RUN) -m bench.prove --seed $(SEED)

measure: $(STAMP)
	$(RUN) -m bench.measure --seed $(SEED)
	$(RUN) -m bench.measure placement --seed $(SEED)

# The scheduler's promises in virtual time with SEEDS seeds.
SEEDS ?= 100
model: $(STAMP)
	MODEL_SEEDS=$(SEEDS) $(RUN) -m pytest tests/test_model.py
