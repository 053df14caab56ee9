# make          build everything
# make run      first look: one call through two daemons
# make check    run the tests
# make bench    print figures
# make soak     mix faults for SECONDS (600) with SEED (1)
# make figures  add the figures of this commit to bench/*.jsonl
# make report   plots and a page of the figures kept, in build/report
# make fuzz     fuzz documents and messages
# SANITIZE=address,undefined or SANITIZE=thread selects a checked build.
TOP := .
DIR := .
include mk/common.mk

DIRS := lib rpc net platform meshd http cornelpickd fakes cornelpick regress
SOURCES := $(shell git ls-files '*.c' '*.h' | grep -v '^rpc/')
LINT_SOURCES := $(filter %.c,$(SOURCES))

all: $(DIRS)

$(DIRS):
	$(MAKE) -C $@ all

rpc http net: lib
platform: lib net
meshd: lib rpc net platform
cornelpickd fakes: lib rpc http
cornelpick: lib rpc http net platform cornelpickd fakes
regress: lib rpc net platform meshd http cornelpickd fakes cornelpick

# The daemon on the users' platform; deploy/system.toml builds it so.
platform-daemon: meshd

packages:
	scripts/install-packages

run: packages
	$(MAKE) all
	scripts/first-look $(BUILD)

check: packages
	$(MAKE) all
	$(MAKE) -C regress check

soak: packages
	$(MAKE) all
	$(MAKE) -C regress soak SECONDS=$(SECONDS) SEED=$(SEED)

bench: packages
	$(MAKE) all
	$(MAKE) -C bench run

# FUZZ_SECONDS for each harness.
fuzz: packages
	$(MAKE) -C regress/fuzz run

# Adds the figures of this commit to those that are kept.
figures: packages
	$(MAKE) all
	$(MAKE) -C bench all
	BUILD=$(abspath $(BUILD)) TOP=$(abspath $(TOP)) $(BUILD)/bench/bench_path --json \
	    | scripts/keep-figures bench/results.jsonl
	BUILD=$(abspath $(BUILD)) TOP=$(abspath $(TOP)) $(BUILD)/bench/bench_slopes \
	    | scripts/keep-figures bench/slopes.jsonl
	scripts/replay-figures $(BUILD)/cornelpick/cornelpick charts \
	    regress/traces/*.jsonl | scripts/keep-figures bench/results.jsonl
	scripts/check-capacity --write

report:
	scripts/report --out $(BUILD)/report

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

lint: lint-tidy lint-cppcheck lint-pages

lint-tidy:
	@printf '%s\n' $(LINT_SOURCES) | xargs -P $(shell nproc) -n 4 sh -c \
	    'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 2>/dev/null' tidy

lint-cppcheck:
	cppcheck --quiet --error-exitcode=1 --inline-suppr -j 8 \
	    --enable=warning,performance,portability \
	    --suppress=missingIncludeSystem --suppress=varFuncNullUB \
	    --suppress=uninitvar --library=mk/cppcheck.cfg -I. -D_GNU_SOURCE \
	    $(LINT_SOURCES)

lint-pages:
	@for page in $$(git ls-files '*.[1-9]'); do \
	    mandoc -Tlint -Wwarning "$$page" || exit 1; done

install: all
	$(MAKE) -C lib install
	$(MAKE) -C cornelpickd install
	$(MAKE) -C cornelpick install
	install -d $(DESTDIR)$(datadir)/cornelpick/charts
	install -m 644 charts/*.json $(DESTDIR)$(datadir)/cornelpick/charts

clean:
	rm -rf build build-*



.PHONY: all $(DIRS) platform-daemon packages run check soak bench figures report fuzz format \
	format-check lint \
	lint-tidy lint-cppcheck lint-pages install clean
