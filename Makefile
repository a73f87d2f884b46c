# Entry points for developers and CI. The build itself is defined in CMakeLists.txt.

BUILD ?= build
JOBS ?= $(shell nproc)
SECONDS ?= 60
SEED ?= 1

.PHONY: all packages build test demo bench fuzz mutants format lint clean

all: build

# Installs the packages in .ci/packages.txt; needs root on Debian 12.
packages:
	@scripts/packages.sh

build: packages
	@cmake -S . -B $(BUILD) >$(BUILD).configure.log 2>&1 || { cat $(BUILD).configure.log; exit 1; }
	@$(MAKE) --no-print-directory -C $(BUILD) -j$(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j4 $(CTEST)

demo: build
	@BUILD=$(BUILD) scripts/demo.sh

bench: build
	@BUILD=$(BUILD) scripts/bench.sh

# Runs test_ownership with random faults for SECONDS seconds from seed SEED on; prints a minimized counterexample on
# failure.
fuzz: build
	@BUILD=$(BUILD) scripts/fuzz.sh $(SECONDS) $(SEED)

# Mutation testing: a test has to fail for each mutant.
mutants: build
	@BUILD=$(BUILD) scripts/mutants.sh

format:
	@scripts/format.sh --fix

lint: build
	@scripts/format.sh && BUILD=$(BUILD) scripts/lint.sh

clean:
	@rm -rf $(BUILD) $(BUILD).configure.log
