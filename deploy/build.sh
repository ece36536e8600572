#!/bin/sh
# Installs the libraries and the shipped packages below target/, which is on Python's path there.
set -eu
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ requirements/runtime.txt -nt "$deps/.installed" ] ||
    [ requirements/constraints.txt -nt "$deps/.installed" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" \
        -r requirements/runtime.txt -c requirements/constraints.txt
    touch "$deps/.installed"
fi
for source in packages/core/src/ibispaddle_core packages/daemon/src/ibispaddle_daemon \
    platform/src/ibispaddle_platform; do
    rm -rf "$deps/${source##*/}"
    cp -r "$source" "$deps/"
done
python3 -m compileall -q "$deps/ibispaddle_core" "$deps/ibispaddle_daemon" \
    "$deps/ibispaddle_platform"
