VENV ?= .venv
PYTHON ?= python3
PY = $(VENV)/bin/python

.PHONY: setup format lint test demo bench

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 bluebellthread standin bench tests

test: setup
	$(PY) -m tests

demo: setup
	$(PY) -m standin.demo

bench: setup
	$(PY) -m bench $(or $(BENCH),run --places brasov-b)
