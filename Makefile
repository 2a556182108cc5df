# Two commands do all set-up: `make demo` and `make test`.

VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := model protocol daemon ctl bench
LOCAL := build/local

.PHONY: install demo test check format generate examples lock

install: $(VENV)/installed

$(VENV)/installed: requirements/dev.txt $(PACKAGES:%=packages/%/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements/dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $@

demo: install
	BIN=$(BIN) LOCAL=$(LOCAL) tools/demo.sh

test: install
	BIN=$(BIN) tools/test.sh

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_imports.py packages tests features tools
	$(BIN)/mypy $(PACKAGES:%=packages/%/src) tools

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

generate: install
	$(BIN)/python -m grpc_tools.protoc -I packages/protocol/src \
	  --python_out=packages/protocol/src --pyi_out=packages/protocol/src \
	  --grpc_python_out=packages/protocol/src \
	  packages/protocol/src/lycheerock_protocol/peer.proto

examples: install
	$(BIN)/lycheerock-bench write-examples --directory examples

lock: install
	$(BIN)/pip-compile -q --generate-hashes --no-emit-index-url \
	  --no-emit-find-links --no-emit-trusted-host --no-emit-options \
	  --allow-unsafe --strip-extras -o requirements/dev.txt requirements/dev.in
	$(BIN)/pip-compile -q --generate-hashes --no-emit-index-url \
	  --no-emit-find-links --no-emit-trusted-host --no-emit-options \
	  --allow-unsafe --strip-extras -c requirements/dev.txt \
	  -o requirements/runtime.txt requirements/runtime.in
