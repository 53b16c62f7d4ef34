VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test lint format bench-control

$(VENV)/.installed: requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/savoryhill demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench-control: $(VENV)/.installed
	PYTHONPATH=src $(BIN)/python -m savoryhill.bench.capacity.regression
