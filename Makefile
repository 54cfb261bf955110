VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.ready

.PHONY: demo test check lock binary smoke

demo: $(STAMP)
	$(BIN)/cyclamenwing demo --once

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

lock:
	$(BIN)/pip-compile -q --generate-hashes --allow-unsafe \
		--no-emit-index-url --no-emit-trusted-host --no-header \
		--strip-extras -o requirements.lock requirements-dev.in
