# The commands of this project; README.md opens with them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

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

test: lint generated-check
	$(BIN)/python -m pytest

quickstart: setup
	$(BIN)/python bin/quickstart

bench: setup
	$(BIN)/python -m pistachiowell.bench
