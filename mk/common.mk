# Settings shared by every directory.  Each directory sets TOP and its sources.
SANITIZE ?=
comma := ,
VARIANT := $(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)))
# target=1 builds for deploy/system.toml, which takes everything from target/.
BUILD := $(TOP)/$(if $(target),target,build)$(VARIANT)
OUT := $(BUILD)/$(DIR)

prefix ?= /usr/local
bindir ?= $(prefix)/bin
sbindir ?= $(prefix)/sbin
libdir ?= $(prefix)/lib
includedir ?= $(prefix)/include
datadir ?= $(prefix)/share
mandir ?= $(datadir)/man

PACKAGES := jansson glib-2.0 liburcu-bp libxxhash libtirpc libcurl yajl libuv zlib
CC := $(if $(SANITIZE),clang,gcc)
FORMAT_FLAGS := $(if $(SANITIZE),,-Wno-format-truncation)
SANITIZE_FLAGS := $(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-sanitize-recover=all)
PKG_CFLAGS := $(patsubst -I%,-isystem %,$(shell pkg-config --cflags $(PACKAGES)))
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES))
CPPFLAGS += -D_GNU_SOURCE -I$(TOP) $(PKG_CFLAGS)
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Werror \
	$(FORMAT_FLAGS) -fPIC $(SANITIZE_FLAGS)
LDFLAGS += -Wl,--as-needed $(SANITIZE_FLAGS)
LDLIBS += $(PKG_LIBS) -lcivetweb -lhttp_parser -lpthread -lm

OBJS = $(patsubst %.c,$(OUT)/%.o,$(SRCS))

$(OUT)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo CC $(DIR)/$<
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

-include $(OBJS:.o=.d)
