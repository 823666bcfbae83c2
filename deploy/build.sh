#!/bin/sh
# Installs what the daemon needs at run time, and the daemon, under target/.
# Libraries are installed anew only when their pins change.
set -eu
deps=target/deps
if [ ! -e "$deps/.pins" ] || ! cmp -s deploy/requirements.txt "$deps/.pins"; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" \
        -r deploy/requirements.txt
    cp deploy/requirements.txt "$deps/.pins"
fi
for package in core daemon; do
    name="cowslippond_$package"
    sources="packages/cowslippond-$package/src/$name"
    if ! diff -rq -x __pycache__ "$sources" "$deps/$name" >/dev/null 2>&1; then
        rm -rf "$deps/$name"
        cp -r "$sources" "$deps/$name"
        find "$deps/$name" -name __pycache__ -prune -exec rm -rf {} +
    fi
done
python3 -m compileall -q -o 2 "$deps" || true
PYTHONPATH="$deps" python3 -S -OO -c "import cowslippond_daemon.platform.__main__"
