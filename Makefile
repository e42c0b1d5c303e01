VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(patsubst %/pyproject.toml,%,$(sort $(wildcard packages/*/pyproject.toml))) platform
SOURCES := $(wildcard packages/*/src) platform/src
SEED ?= 1
SECONDS ?= 60
ONLY ?=

.PHONY: demo test bench soak install lint types unit

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(addprefix -e ,$(PACKAGES))
	touch $@

lint: install
	$(BIN)/black --check --quiet packages platform
	$(BIN)/ruff check --quiet packages platform
	$(BIN)/lint-imports --no-cache

types: install
	$(BIN)/mypy $(SOURCES)

unit: install
	$(BIN)/pytest

test: lint types unit

demo: install
	$(BIN)/lychee-bench demo

bench: install
	$(BIN)/lychee-bench bench $(if $(ONLY),--only $(ONLY))

soak: install
	$(BIN)/lychee-bench soak --seed $(SEED) --seconds $(SECONDS)
