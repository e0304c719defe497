# All targets set themselves up: the first one run makes the virtual environment.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format types pytest bench soak capacity docs schema clean

demo: $(STAMP)
	$(BIN)/savorychute demo

# KNOWN_RED holds the options that leave out tests of faults which are known and open.
# Tests with crowds measure a process of their own, so they run alone.
test: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/python -m pytest -n 10 --dist worksteal --ignore tests/test_crowds $(KNOWN_RED)
	$(BIN)/python -m pytest -n 0 tests/test_crowds $(KNOWN_RED)

lint: $(STAMP)
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

types: $(STAMP)
	$(BIN)/mypy

pytest: $(STAMP)
	$(BIN)/python -m pytest -n 10 --dist worksteal --ignore tests/test_crowds
	$(BIN)/python -m pytest -n 0 tests/test_crowds

bench: $(STAMP)
	$(BIN)/python -m benches

soak: $(STAMP)
	$(BIN)/python -m benches.soak

capacity: $(STAMP)
	$(BIN)/python -m benches.capacity

docs: $(STAMP)
	$(BIN)/savorychute docs

schema: $(STAMP)
	$(BIN)/savorychute schema

$(STAMP): requirements/lock.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements/lock.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis
