#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They have no dependencies.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
exec cargo build --release --offline --locked --manifest-path "$root/review/standins-2/Cargo.toml" \
    --target-dir "$root/target/review-2"
