BUILD ?= build
ARGS ?=

.PHONY: run check build configure deps cross format lint bench

deps:
	@scripts/install-packages

configure: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null

build: configure
	@cmake --build $(BUILD)

run: build
	@scripts/run-demo $(BUILD) $(ARGS)

check: build
	@scripts/run-tests $(BUILD)

format:
	@git ls-files '*.h' '*.cc' ':!*_generated.h' | xargs clang-format -i

lint: build
	@scripts/check-format
	@scripts/check-lint $(BUILD)

cross: configure
	@scripts/check-cross $(BUILD)

bench: build
	@ctest --test-dir $(BUILD) --output-on-failure -R policy_rig
	@scripts/capacity $(BUILD) KNOWN-RED.txt
