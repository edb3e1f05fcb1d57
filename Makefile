.PHONY: venv demo test check lint types unit pages fault-matrix report \
	measure-capacity measure-config measure-control measure-outcomes \
	measure-path measure-security measure-surge compare-detection \
	platform-score platform-hunt

VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := model policy client daemon gateway standins
SOURCES := $(foreach p,$(PACKAGES),packages/aspendrift-$(p)/src) platform/src
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
export PYTHONPATH := $(subst $(SPACE),:,$(abspath $(SOURCES)))
export PATH := $(abspath $(BIN)):$(PATH)

venv: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet -c constraints.txt --no-build-isolation --no-deps $(foreach p,$(PACKAGES),-e packages/aspendrift-$(p))
	touch $@

test: venv
	$(MAKE) --no-print-directory check

check: lint types unit

lint:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_imports.py
	$(BIN)/python tools/check_docs.py

types:
	$(BIN)/mypy packages/*/src platform/src

unit:
	$(BIN)/python -m pytest

demo: venv
	$(BIN)/python -m aspendrift_standins.demo

fault-matrix: venv
	$(BIN)/python tools/fault_matrix.py

measure-outcomes: venv
	$(BIN)/python -m aspendrift_standins.measure_outcomes

pages: venv
	$(BIN)/python tools/generate_settings_page.py
	$(BIN)/python tools/generate_outcomes_page.py
	$(BIN)/python tools/generate_events_page.py
	$(BIN)/python tools/generate_index_page.py

measure-capacity: venv
	$(BIN)/python tools/measure_capacity.py

measure-path: venv
	$(BIN)/python -m aspendrift_standins.measure_path

measure-security: venv
	$(BIN)/python -m aspendrift_standins.measure_security

measure-config: venv
	$(BIN)/python -m aspendrift_standins.measure_config

measure-control: venv
	$(BIN)/python -m aspendrift_standins.measure_control

compare-detection: venv
	$(BIN)/python tools/compare_detection.py

measure-surge: venv
	$(BIN)/python tools/measure_decisions.py > docs/measurements/decisions.json
	$(BIN)/python -m aspendrift_standins.measure_surge \
		--decisions docs/measurements/decisions.json \
		--save docs/measurements/surge.json

report: venv
	$(BIN)/python -m aspendrift_standins.report \
		docs/measurements/surge.json docs/measurements

# Options for the bench, such as `--site kaapwind-fleet-large --small`.
BENCH_OPTIONS ?=
JOBS ?= 4

platform-score: venv
	$(BIN)/python tools/platform_bench.py score --jobs $(JOBS) $(BENCH_OPTIONS)

platform-hunt: venv
	$(BIN)/python tools/platform_bench.py hunt --jobs $(JOBS) $(BENCH_OPTIONS)
