#!/bin/sh
# Installs the locked runtime dependencies and the project's packages into
# target/deps.  Dependencies are reinstalled only when the lock file has changed.
# The packages are compiled, and the modules that the programs import at their start are
# put into one bundle for each: a start reads it instead of looking up some 400 files.
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
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps/hitchdeck_*
for role in entry hub; do
    PYTHONPATH=target/deps python3 -S -m hitchdeck_daemon.write_bundle \
        "hitchdeck_daemon.${role}_role"
done
