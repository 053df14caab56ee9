# Builds the static archive ARCHIVE from SRCS.
include $(TOP)/mk/common.mk

all: $(OUT)/$(ARCHIVE)

$(OUT)/$(ARCHIVE): $(OBJS)
	rm -f $@
	ar rcs $@ $(OBJS)

.PHONY: all
