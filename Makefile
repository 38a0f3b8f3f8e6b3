BUILD ?= build
JOBS ?= $(shell nproc)

# make soak: first new seed, number of new seeds, and number of parallel runs.
SEED ?= $(shell date +%s)
SOAK_COUNT ?= 6
SOAK_JOBS ?= 4

# Duration of make fuzz.
FUZZ_SECONDS ?= 20

.PHONY: all deps build build-sanitize test test-tsan scenarios fault-matrix demo soak soak-mutants \
	bench bench-policy bench-capacity fuzz format format-check lint layers clean

all: build

deps:
	tools/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

build-sanitize: deps
	cmake -S . -B $(BUILD)-sanitize -DGB_SANITIZE=ON >/dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS)

# Not part of CI: the libraries are not instrumented, and the whole run is slow.
test-tsan: deps
	cmake -S . -B $(BUILD)-tsan -DGB_SANITIZE_THREAD=ON >/dev/null
	cmake --build $(BUILD)-tsan -j $(JOBS)
	tools/run-tests.sh $(BUILD)-tsan

test: build build-sanitize
	tools/run-tests.sh $(BUILD)
	tools/run-tests.sh $(BUILD)-sanitize

demo:
	tools/demo.sh

soak: build
	tools/soak.sh $(BUILD) $(SEED) $(SOAK_COUNT) $(SOAK_JOBS)

# Takes up to an hour. Uses the last commit.
soak-mutants:
	tools/soak-mutants.sh $(SOAK_JOBS)

scenarios: build
	$(BUILD)/tests/test_scenarios

fault-matrix: build
	$(BUILD)/tests/test_fault_matrix

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

format-check:
	git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror

lint: build layers
	git ls-files '*.c' | xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)

layers:
	tools/check-layers.sh

# glibc counts freed memory in its per-thread cache as in use, so the programs
# that measure memory run without that cache.
bench: build
	$(BUILD)/bench_forward
	$(BUILD)/bench_packet
	GLIBC_TUNABLES=glibc.malloc.tcache_count=0 $(BUILD)/bench_routes
	GLIBC_TUNABLES=glibc.malloc.tcache_count=0 $(BUILD)/bench_memory
	GLIBC_TUNABLES=glibc.malloc.tcache_count=0 $(BUILD)/bench_memory

bench-capacity: build
	GLIBC_TUNABLES=glibc.malloc.tcache_count=0 $(BUILD)/bench_capacity_balancer
	GLIBC_TUNABLES=glibc.malloc.tcache_count=0 $(BUILD)/bench_capacity_agent
	$(BUILD)/bench_capacity_platform
	$(BUILD)/bench_capacity_view

FUZZ_FLAGS = -g -O1 -std=gnu11 -fsanitize=fuzzer,address,undefined \
	-fno-sanitize-recover=all -Isrc -Itests -Iplatform -D_GNU_SOURCE \
	-DGB_VERSION='"fuzz"'
FUZZ_PACKAGES = glib-2.0 libsodium libxxhash msgpack jansson
FUZZ_SOURCES = src/state/*.c src/coordination/*/*.c src/protocol/*.c
FUZZ_RUN = -artifact_prefix=$(BUILD)-fuzz/ -max_total_time=$(FUZZ_SECONDS)

# Fuzzes the datagram decoders, and the readers of the store's values and of
# settings, with libFuzzer and sanitizers. Needs libclang-rt-14-dev. Not part
# of CI.
fuzz: deps
	mkdir -p $(BUILD)-fuzz/store_item
	clang $(FUZZ_FLAGS) $$(pkg-config --cflags $(FUZZ_PACKAGES)) \
	  tests/fuzz/fuzz_datagram.c \
	  $(addprefix tests/support/,fleet.c datagram_injection.c sample_messages.c \
	    endpoint_fixture.c) $(FUZZ_SOURCES) \
	  -o $(BUILD)-fuzz/fuzz_datagram \
	  $$(pkg-config --libs $(FUZZ_PACKAGES)) -lm
	clang $(FUZZ_FLAGS) $$(pkg-config --cflags $(FUZZ_PACKAGES)) \
	  tests/fuzz/fuzz_store_item.c platform/store_item.c platform/node_file.c \
	  $(FUZZ_SOURCES) -o $(BUILD)-fuzz/fuzz_store_item \
	  $$(pkg-config --libs $(FUZZ_PACKAGES)) -lm
	$(BUILD)-fuzz/fuzz_datagram $(FUZZ_RUN) -max_len=2048
	$(BUILD)-fuzz/fuzz_store_item $(FUZZ_RUN) -max_len=16384 \
	  $(BUILD)-fuzz/store_item tests/fuzz/store_item

bench-policy: build
	$(BUILD)/bench_policy
	$(BUILD)/bench_pace

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize $(BUILD)-fuzz
