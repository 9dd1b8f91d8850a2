PYTHON := .venv/bin/python
STAMP := .venv/.installed

.PHONY: setup demo test lint bench generate format

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: setup
	$(PYTHON) -m bench.demo
	$(PYTHON) -m bench.demo_platform

test: setup
	$(PYTHON) -m tests.run

lint: setup
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/lint-imports

bench: setup
	$(PYTHON) -m bench.report

generate: setup
	$(PYTHON) tools/generate_code.py

format: setup
	.venv/bin/ruff check --fix .
	.venv/bin/ruff format .
