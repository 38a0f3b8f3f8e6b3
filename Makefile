BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build build-sanitize test format format-check lint layers clean bench-policy

all: build

deps:
	tools/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

build-sanitize: deps
	cmake -S . -B $(BUILD)-sanitize -DGB_SANITIZE=ON >/dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS)

test: build build-sanitize
	tools/run-tests.sh $(BUILD)
	tools/run-tests.sh $(BUILD)-sanitize

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

format-check:
	git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror

lint: build layers
	git ls-files '*.c' | xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)

layers:
	tools/check-layers.sh

bench-policy: build
	$(BUILD)/bench_policy

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
