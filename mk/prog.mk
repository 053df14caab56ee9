# Builds PROG from SRCS, the archives named in ARCHIVES and the library.
include $(TOP)/mk/common.mk

ARCHIVE_FILES := $(foreach a,$(ARCHIVES),$(BUILD)/$(a))

all: $(OUT)/$(PROG)

$(OUT)/$(PROG): $(OBJS) $(ARCHIVE_FILES)
	$(CC) $(LDFLAGS) -o $@ $(OBJS) $(ARCHIVE_FILES) $(LDLIBS)

.PHONY: all
