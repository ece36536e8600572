# Commands of the workspace. Every target installs what it needs into .venv.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
PACKAGES := core daemon client standins bench
export PYTHONPATH := $(CURDIR):$(subst $(eval) ,:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src)):$(CURDIR)/platform/src
export PYTHONDONTWRITEBYTECODE := 1
STAMP := $(VENV)/.installed
SOURCES := packages platform tests
REQUIREMENTS := requirements/constraints.txt requirements/runtime.txt requirements/dev.txt

.PHONY: install format docs check test soak demo bench regression
install: $(STAMP)

$(STAMP): $(REQUIREMENTS) $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -c requirements/constraints.txt -r requirements/runtime.txt -r requirements/dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

format: install
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

docs: install
	$(BIN)/ibispaddle reference settings > docs/ref/settings.md
	$(BIN)/ibispaddle reference log-events > docs/ref/log-events.md
	$(BIN)/python -m ibispaddle_daemon.reference > docs/ref/metrics.md

check: install
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/mypy

test: install
	$(BIN)/python -m tests $(TESTS)

# Plays runs with random faults and real processes: make soak SEEDS=50 FIRST=1 MINUTES=10 SCALE=1 SOAK_JOBS=2
SEEDS ?= 50
FIRST ?= 1
MINUTES ?= 30
SCALE ?= 1
SOAK_JOBS ?= 2
soak: install
	$(BIN)/python -m tests.soak --first $(FIRST) --seeds $(SEEDS) --minutes $(MINUTES) --scale $(SCALE) --jobs $(SOAK_JOBS)

demo: install
	$(BIN)/python -m ibispaddle_bench.demo

bench: install
	$(BIN)/python -m ibispaddle_bench.experiment

# Scores the deployments of deploy/regression.txt: make regression FLEETBENCH=program SITES=folder JOBS=2
JOBS ?= 2
regression:
	for site in $$(grep -v '^#' deploy/regression.txt); do \
		$(FLEETBENCH) score $(SITES)/$$site --jobs $(JOBS) --why "regression" || exit 1; \
	done
