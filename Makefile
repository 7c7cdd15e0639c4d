VENV ?= .venv
BIN = $(VENV)/bin
SEED ?= 1
RUNS ?= 50

$(VENV)/.installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

.PHONY: demo test lint format soak bench openapi proto
demo: $(VENV)/.installed
	$(BIN)/tulippin demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest -q

lint: $(VENV)/.installed
	$(BIN)/ruff format --check src tests bench examples
	$(BIN)/ruff check src tests bench examples
	$(BIN)/flake8 src

format: $(VENV)/.installed
	$(BIN)/ruff format src tests bench examples
	$(BIN)/ruff check --fix src tests bench examples

soak: $(VENV)/.installed
	$(BIN)/python bench/soak.py --seed $(SEED) --runs $(RUNS)
	$(BIN)/python bench/soak_jobs.py --seed $(SEED) --runs $(RUNS)
	$(BIN)/python bench/soak_jobs.py --seed $(SEED) --runs $(RUNS) --keep-ids
	$(BIN)/python bench/soak_jobs.py --seed $(SEED) --runs $(RUNS) --evacuate
	$(BIN)/python bench/soak_jobs.py --seed $(SEED) --runs $(RUNS) --all-parts
	$(BIN)/python bench/soak_jobs.py --seed $(SEED) --runs $(RUNS) --lose-in-series
	$(BIN)/python bench/soak_restarts.py --seed $(SEED) --runs $(RUNS)
	$(BIN)/python bench/soak_restarts.py --seed $(SEED) --runs $(RUNS) --owners stop --owners kill
	$(BIN)/python bench/soak_processes.py --seed $(SEED) --runs $(RUNS)
	$(BIN)/python bench/soak_processes.py --seed $(SEED) --runs $(RUNS) --lose-in-series

bench: $(VENV)/.installed
	$(BIN)/python bench/hops.py
	$(BIN)/python bench/recovery.py
	$(BIN)/python bench/placement.py
	$(BIN)/python bench/slopes.py
	$(BIN)/python bench/scale.py --share 0.1
	$(BIN)/python bench/policies.py

openapi: $(VENV)/.installed
	$(BIN)/python -m tulippin.openapi > openapi.tmp
	mv openapi.tmp src/tulippin/openapi.json

proto: $(VENV)/.installed
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=src/tulippin \
	    --grpc_python_out=src/tulippin proto/peers.proto
	sed -i 's/^import peers_pb2/from tulippin import peers_pb2/' \
	    src/tulippin/peers_pb2_grpc.py
