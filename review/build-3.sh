#!/bin/sh
# The stand-ins of cases 11 to 14 are in Python, which the project's tests need
# as well (scripts/install-packages), and need no build.  This checks that they
# can be read and that the daemon is there.
set -eu
cd "$(dirname "$0")"
for file in rig_3.py 1[1-4]/case.py; do
	[ -f "$file" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/meshd/cornelpick-meshd
