VENV ?= .venv
PYTHON = $(VENV)/bin/python
RUFF = $(VENV)/bin/ruff
SOURCES = tarragoncleat tarragoncleat_bench tarragoncleat_model tarragoncleat_soak platform tests tools

.PHONY: install check test demo bench soak model

SEEDS ?= 3
WORLDS ?= 500

install: $(VENV)/installed

$(VENV)/installed: requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

check: install
	$(RUFF) format --check $(SOURCES)
	$(RUFF) check $(SOURCES)
	$(PYTHON) -m mypy

test: check
	$(PYTHON) -m tests.run

demo: install
	$(PYTHON) -m tools.demo

bench: install
	$(PYTHON) -m tarragoncleat_bench.main --folder bench-results

soak: install
	$(PYTHON) -m tarragoncleat_soak.main --seeds $(SEEDS) $(if $(FIRST),--first $(FIRST))

model: install
	$(PYTHON) -m tarragoncleat_model.main --worlds $(WORLDS) --trace $(if $(FIRST),--first $(FIRST))
