PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint check demo bench measure format

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev,report]'
	touch $@

format: setup
	$(BIN)/ruff check --fix arbutusvale tests
	$(BIN)/ruff format arbutusvale tests

lint: setup
	$(BIN)/ruff format --check arbutusvale tests
	$(BIN)/ruff check arbutusvale tests
	$(BIN)/flake8 arbutusvale tests
	$(BIN)/lint-imports --no-cache

check: setup
	$(BIN)/python -m pytest -n 4 --dist loadfile

test: lint check

demo: setup
	$(BIN)/arbutusvale-standin fleet

bench: setup
	$(BIN)/python -m tests.bench --out docs/measurements
	$(BIN)/python -m tests.edge_bench | tee docs/measurements/edgebench.txt

measure: setup
	$(BIN)/arbutusvale-load measure --out docs/measurements
