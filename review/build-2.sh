#!/bin/sh
# Builds the stand-ins and the cases of the second review, after the build of
# deploy/system.toml, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -I."
libraries=$(pkg-config --cflags --libs glib-2.0)

for source in review/[6-8]/case.c; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2086
	gcc $flags -o "$out/case-$number" "$source" review/stand_ins*.c \
		$libraries -lpthread
done
