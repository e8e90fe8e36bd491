# The commands of this project; README.md opens with them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PYTEST := $(BIN)/python -m pytest --durations=20
# Tests on event loops mostly wait; each fleet of processes occupies about a core.
LOOP_WORKERS ?= 4
FLEET_WORKERS ?= 4

.PHONY: setup lint generated-check test quickstart bench format generate

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/python -W ignore -m pistachiowell.schema.generate
	$(BIN)/python -m pistachiowell.schema.reference

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

generated-check: setup
	$(BIN)/python -W ignore -m pistachiowell.schema.generate --check

# Both parts collect all tests, since the examples of hypothesis depend on what is
# imported. The second runs also if the first fails.
test: lint generated-check
	failed=0; \
	$(PYTEST) -m 'not processes' -n $(LOOP_WORKERS) --dist worksteal || failed=1; \
	$(PYTEST) -m processes -n $(FLEET_WORKERS) --dist loadfile || failed=1; \
	exit $$failed

quickstart: setup
	$(BIN)/python bin/quickstart

bench: setup
	$(BIN)/python -m pistachiowell.bench
