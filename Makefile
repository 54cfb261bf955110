VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.ready
LOCK_FLAGS := -q --allow-unsafe --no-emit-index-url --no-emit-trusted-host \
	--no-emit-find-links --no-header --no-annotate --strip-extras

.PHONY: demo test check figures lock binary smoke

demo: $(STAMP)
	$(BIN)/cyclamenwing demo --once

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tests tools
	$(BIN)/mypy

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

binary: $(STAMP)
	rm -rf build dist
	mkdir dist
	$(BIN)/python tools/collect.py requirements-run.lock build/site
	$(BIN)/pip install -q --no-deps --no-build-isolation --no-index \
		--no-compile --target build/site .
	$(BIN)/shiv --site-packages build/site -c cyclamenwing --compressed \
		--reproducible -o dist/cyclamenwing

smoke: binary
	$(BIN)/python tools/smoke.py dist/cyclamenwing

figures: $(STAMP)
	$(BIN)/cyclamenwing bench capacity --save docs/data/capacity.json
	$(BIN)/cyclamenwing bench budget --save docs/data/budget.json
	$(BIN)/cyclamenwing bench routing --save docs/data/routing.json
	$(BIN)/cyclamenwing bench control --fleet 3,6 --fleet 12,20 \
		--changes 10 --idle 10 --save docs/data/control.json
	$(BIN)/cyclamenwing bench latency --seconds 8 --rounds 3 \
		--save docs/data/latency.json
	$(BIN)/cyclamenwing bench report
	$(BIN)/python tools/tables.py

lock:
	$(BIN)/pip-compile $(LOCK_FLAGS) -o requirements.lock requirements-dev.in
	$(BIN)/pip-compile $(LOCK_FLAGS) -c requirements.lock \
		-o requirements-run.lock requirements.in
	$(BIN)/pip-compile $(LOCK_FLAGS) -c requirements.lock \
		-o requirements-gateway.lock requirements-gateway.in
