PY := .venv/bin/python
VENV := .venv/.ready
SEED ?= 1
# Processes that run the tests.
TEST_PROCESSES ?= 4
DEMO_SIZE ?= full

.PHONY: demo run test prove prove-mutants chaos soak measure bench capacity lint format clean

$(VENV): requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(VENV)

demo: $(VENV)
	DEMO_SIZE=$(DEMO_SIZE) $(PY) -m demo

run: $(VENV)
	DEMO_SIZE=$(DEMO_SIZE) $(PY) -m demo --keep

test: $(VENV)
	$(PY) -m pytest -n $(TEST_PROCESSES) --dist loadfile

prove: $(VENV)
	HYPOTHESIS_PROFILE=prove $(PY) -m pytest $$($(PY) -m tests.promises)

prove-mutants: $(VENV)
	$(PY) -m tests.mutants

chaos: $(VENV)
	$(PY) -m demo.chaos --seed $(SEED)

soak: $(VENV)
	$(PY) -m soak --seed $(SEED)

measure: $(VENV)
	$(PY) -m benchmarks.measure --seed $(SEED)

bench: $(VENV)
	$(PY) -m pytest benchmarks/bench_*.py --benchmark-enable --benchmark-columns=min,median,max,rounds

capacity: $(VENV)
	$(PY) -m benchmarks.capacity

lint: $(VENV)
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/flake8 mintlanding demo
	.venv/bin/mypy mintlanding demo

format: $(VENV)
	.venv/bin/ruff check --fix --quiet .
	.venv/bin/ruff format .

clean:
	rm -rf .venv build *.egg-info

.PHONY: reference
reference: $(VENV)
	$(PY) -m mintlanding.core.reference > docs/reference/result-codes.md
	$(PY) -m mintlanding.conf.reference > docs/reference/settings.md
