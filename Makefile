PY := .venv/bin/python
VENV := .venv/.ready
SEED ?= 1
DEMO_SIZE ?= full

.PHONY: demo run test prove prove-mutants chaos measure bench capacity lint format clean

$(VENV): requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(VENV)

demo: $(VENV)
	DEMO_SIZE=$(DEMO_SIZE) $(PY) -m demo

run: $(VENV)
	DEMO_SIZE=$(DEMO_SIZE) $(PY) -m demo --keep

test: $(VENV)
	$(PY) -m pytest

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
