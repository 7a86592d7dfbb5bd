#!/bin/sh
# Puts the runtime's libraries, from the lock, and the project's packages into
# target/deps.  Libraries are installed again only when the lock has changed.
set -eu
mkdir -p target
if ! cmp -s requirements-runtime.lock target/installed.lock; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --require-hashes --target target/deps -r requirements-runtime.lock
    cp requirements-runtime.lock target/installed.lock
fi
rm -rf target/deps/hitchdeck_*
for package in core control edge daemon; do
    cp -r "packages/$package/src/." target/deps/
done
cp -r platform/src/. target/deps/
