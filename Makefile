# Sets up a virtual environment and runs the main jobs of the workspace.
PY ?= python3
BIN := .venv/bin
WORKERS ?= 4
PACKAGES := settings store policy simulation peers gateway router admin
CROWDS := tests/processes/test_outside_limits.py
EDITABLE := $(foreach p,$(PACKAGES),-e packages/sardinebend-$(p))

.PHONY: setup run demo lint test fast matrix processes crowds soak bench capacity reference

setup: .venv/ready

.venv/ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PY) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
	  -r requirements-dev.txt $(EDITABLE)
	touch $@

run: setup
	$(BIN)/sardinebend

demo: setup
	$(BIN)/python -m standins.demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/src platform/sardinebend_adapter deploy standins bench

# The tests over processes measure real time, so they run one after another, and
# few workers run the others beside them. Those with crowds of callers run last,
# with nothing beside them.
test: lint
	$(MAKE) --no-print-directory -j2 --output-sync=target fast processes
	$(MAKE) --no-print-directory crowds

fast: setup
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile \
	  packages tests/cover tests/nocover

matrix: setup
	$(BIN)/python -m tests.common.report

processes: setup
	$(BIN)/python -m pytest tests/processes --ignore $(CROWDS)

crowds: setup
	$(BIN)/python -m pytest $(CROWDS)

bench: setup
	$(BIN)/python -m bench

# Short and seeded, as in `make test`; docs/developers.md has the long ones.
soak: setup
	$(BIN)/python -m pytest tests/nocover/test_gateway_soak.py \
	  tests/processes/test_soak.py

capacity: setup
	$(BIN)/python -m bench.cost
	$(BIN)/python -m bench.slopes

reference: setup
	$(BIN)/python -c 'from sardinebend_settings import reference; print(reference.render_reference(), end="")' > docs/settings-reference.md
	$(BIN)/python -m bench.events_page
