# `make demo` shows the system at work; `make test` runs every test.
# Both install the pinned packages into .venv first.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages tests
# Processes that run the tests; 0 runs them one after the other.
WORKERS ?= 0

.PHONY: install test lint demo bench soak

$(VENV)/installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation \
		$(foreach p,$(wildcard packages/*),-e $(p))
	touch $@

install: $(VENV)/installed

test: install
	$(BIN)/python -m pytest -n $(WORKERS)

lint: install
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy

demo: install
	$(BIN)/python -m cowslippond_standins.demo

bench: install
	$(BIN)/python -m cowslippond_standins.bench

soak: install
	$(BIN)/python -m pytest tests/integration/test_soak.py --soak
