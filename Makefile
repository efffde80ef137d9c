# Builds into build/$(FLAVOUR); FLAVOUR=san enables the sanitizers.
FLAVOUR ?= std
B := build/$(FLAVOUR)
CC ?= gcc
CXX ?= g++
PKGS := glib-2.0 jansson libevent libevent_pthreads libtirpc libxxhash zlib
CPPFLAGS += -D_GNU_SOURCE -I. -Iinclude $(shell pkg-config --cflags $(PKGS))
WARNINGS := -Wall -Wextra -Wshadow=local -Wstrict-prototypes -Werror
CFLAGS_std := -O2 -g
CFLAGS_san := -O1 -g -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined -fno-omit-frame-pointer
LDFLAGS_san := -fsanitize=address,undefined
CFLAGS += -std=gnu11 $(WARNINGS) $(CFLAGS_$(FLAVOUR))
CXXFLAGS += -std=c++17 -Wall -Wextra -Werror $(CFLAGS_$(FLAVOUR))
LDFLAGS += $(LDFLAGS_$(FLAVOUR))
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lm -lpthread

# Modules without I/O; they form libradishdeal.a, which other programs may embed.
CORE_COMMON := common/result.c common/key_hash.c
CORE_SRC := $(CORE_COMMON) wire/radishdeal_xdr.c wire/codec.c \
	$(wildcard consensus/*.c state/*.c evidence/*.c placement/*.c \
	routing/*.c)
DAEMON_SRC := $(filter-out $(CORE_COMMON),$(wildcard common/*.c)) \
	$(filter-out wire/radishdeal_xdr.c wire/codec.c,$(wildcard wire/*.c)) \
	$(wildcard settings/*.c storage/*.c control/*.c entry/*.c \
	platform/*.c)
CTL_SRC := $(wildcard ctl/*.c)

CORE_OBJ := $(CORE_SRC:%.c=$B/%.o)
LIB_OBJ := $(DAEMON_SRC:%.c=$B/%.o) $B/settings/toml.o
TEST_BIN := $(patsubst test/%.c,$B/test/%,$(wildcard test/test_*.c))
FAKE_BIN := $(patsubst test/fakes/%.c,$B/test/fakes/%,\
	$(wildcard test/fakes/fake_*.c))
BENCH_BIN := $(patsubst bench/%.c,$B/bench/%,$(wildcard bench/bench_*.c))
HELPER_OBJ := $(patsubst %.c,$B/%.o,$(filter-out test/test_%,\
	$(wildcard test/*.c)) test/fakes/socket_owner.c)
FAKE_OBJ := $(patsubst %.c,$B/%.o,$(filter-out test/fakes/fake_%,\
	$(wildcard test/fakes/*.c)))
SOAK_BIN := $(patsubst %.c,$B/%,$(wildcard soak/soak_*.c))
SOAK_OBJ := $(patsubst %.c,$B/%.o,$(filter-out soak/soak_%,\
	$(wildcard soak/*.c)))
EXAMPLE_BIN := $(patsubst examples/%.c,$B/examples/%,$(wildcard examples/*.c))

PROGRAMS := $B/radishdeald $B/radishdealctl

.PHONY: all programs check demo measure clean packages lint format wire \
	torture soak tests doc fresh
programs: $(PROGRAMS)
all: $(PROGRAMS) $B/libradishdeal.a $(FAKE_BIN) $(EXAMPLE_BIN)
tests: all $(TEST_BIN) $(BENCH_BIN) $(SOAK_BIN)

$B/wire/radishdeal_xdr.o: WARNINGS := -w

$B/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$B/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$B/libradishdeal.a: $(CORE_OBJ)
	@rm -f $@
	ar rcs $@ $^

$B/librest.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

LIBS := $B/librest.a $B/libradishdeal.a

$B/radishdeald: $B/daemon/main.o $(LIBS)
	$(CXX) $(LDFLAGS) $^ $(LDLIBS) -o $@

$B/radishdealctl: $(CTL_SRC:%.c=$B/%.o) $(LIBS)
	$(CXX) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(TEST_BIN): $B/test/%: $B/test/%.o $(SOAK_OBJ) $(HELPER_OBJ) $(LIBS)
	$(CXX) $(LDFLAGS) $^ $(LDLIBS) -lcmocka -o $@

$(FAKE_BIN): $B/test/fakes/%: $B/test/fakes/%.o $(FAKE_OBJ) $(LIBS)
	$(CXX) $(LDFLAGS) $^ $(LDLIBS) -o $@

$(BENCH_BIN): $B/bench/%: $B/bench/%.o $B/bench/meter.o $(HELPER_OBJ) $(LIBS)
	$(CXX) $(LDFLAGS) $^ $(LDLIBS) -lcmocka -o $@

$(SOAK_BIN): $B/%: $B/%.o $(SOAK_OBJ) $(HELPER_OBJ) $(LIBS)
	$(CXX) $(LDFLAGS) $^ $(LDLIBS) -lcmocka -o $@

# Linked with libradishdeal.a alone, as a check that it needs no other module.
$(EXAMPLE_BIN): $B/examples/%: $B/examples/%.o $B/libradishdeal.a
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

PACKAGES := build-essential pkg-config libevent-dev libtirpc-dev \
	libglib2.0-dev libjansson-dev libcmocka-dev libxxhash-dev \
	libtomlplusplus-dev zlib1g-dev clang-format clang-tidy doxygen python3 curl

# Runs apt-get only if a package is missing.
packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { \
		apt-get update -q && \
		DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
		$(PACKAGES); }

# Discards objects of other sources, machines or compilers. A build folder that was
# carried over may have them, newer than the sources.
fresh:
	@mkdir -p $B
	@sum=$$({ uname -m; $(CC) --version; cat Makefile \
		$(sort $(wildcard */*.[ch] */*.cc */*/*.[ch])); } | cksum); \
	if [ "$$sum" != "$$(cat $B/sources.sum 2>/dev/null)" ]; then \
		find $B -name '*.o' -delete; \
		echo "$$sum" >$B/sources.sum; \
	fi

OWN_C := $(filter-out wire/radishdeal_xdr.c,$(shell git ls-files '*.c'))
OWN_SOURCE := $(OWN_C) $(filter-out wire/radishdeal.h,\
	$(shell git ls-files '*.h' '*.cc'))

lint:
	clang-format --dry-run --Werror $(OWN_SOURCE)
	@echo $(OWN_C) | xargs -P 8 -n 4 sh -c 'for f; do clang-tidy \
		--quiet $$f -- -std=gnu11 $(CPPFLAGS) 2>/dev/null || exit 255; \
		done' x

format:
	clang-format -i $(OWN_SOURCE)

# Builds both flavours first, so that a single run-tests counts all tests.
check: packages
	$(MAKE) -s tests
	$(MAKE) -s FLAVOUR=san tests
	$(MAKE) -s lint
	$(MAKE) -s doc
	build/std/examples/embed >/dev/null
	docs/make-capacity.py --check
	sh docs/make-results.sh | cmp - docs/RESULTS.md
	test/run-tests build/std build/san

# Doxygen treats warnings as errors.
doc:
	@mkdir -p build/doc
	doxygen docs/Doxyfile

demo: packages
	@$(MAKE) -s -j8 all
	@demo/run

# Runs one benchmark:
# make measure WHAT=placement|state|path|capacity|routing|quarantine
WHAT ?= placement
measure: tests
	$B/bench/bench_$(WHAT)

# Runs the consensus group under SEEDS random fault schedules, from SEED on.
# A failed schedule is repeated with SEED=<its seed> SEEDS=1.
SEED ?= 1
SEEDS ?= 10000
torture: tests
	$B/bench/bench_torture $(SEED) $(SEEDS)

# Stops real processes in series, SECONDS long for each of SEEDS seeds:
# make soak WHAT=stops|platform OPTIONS=...
SECONDS ?= 20
soak: SEEDS = 1
soak: WHAT = stops
soak: tests
	$B/soak/soak_$(WHAT) $(SEED) $(SEEDS) $(SECONDS) $(OPTIONS)

wire:
	sh wire/regenerate.sh

clean:
	rm -rf build

-include $(shell find $B -name '*.d' 2>/dev/null)
