# Every target uses one virtual environment; VENV may name an existing one.
VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
KEEP ?= 0

.PHONY: all env lint types unit model test run bench soak clean

all: test

env: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -e '.[dev]'
	touch $(STAMP)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest

model: $(STAMP)
	command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin gcc)
	$(BIN)/python -m specs.check

test: lint types model unit

run: $(STAMP)
	$(BIN)/python -m benchmarks.run --keep=$(KEEP)

bench: $(STAMP)
	$(BIN)/python -m benchmarks.bench

clean:
	rm -rf build dist .mypy_cache .ruff_cache .hypothesis
