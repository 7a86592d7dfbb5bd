# Everything runs in .venv, made from the lock on first use.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
PACKAGES = core control router edge cli daemon
ADAPTER = platform
SOURCES = packages platform standins soak tools bench tests

.PHONY: env demo test lint fuzz bench clean

env: .venv/ready

.venv/ready: requirements.lock $(PACKAGES:%=packages/%/pyproject.toml) $(ADAPTER)/pyproject.toml
	$(PYTHON) -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	.venv/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%) -e $(ADAPTER)
	touch .venv/ready

demo: env
	PYTHONPATH=. .venv/bin/python tools/demo.py

test: env
	.venv/bin/python -m pytest $(PYTEST_ARGS)

lint: env
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/flake8 $(SOURCES)
	.venv/bin/mypy $(PACKAGES:%=packages/%/src) $(ADAPTER)/src standins soak tools bench
	.venv/bin/lint-imports

fuzz: env
	HYPOTHESIS_PROFILE=long .venv/bin/python -m pytest tests/fuzz

clean:
	rm -rf .venv .mypy_cache .ruff_cache .pytest_cache .hypothesis
