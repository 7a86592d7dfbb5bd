#!/bin/sh
# Installs the locked runtime dependencies and the project's packages into
# target/deps.  Dependencies are reinstalled only when the lock file has changed.
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
