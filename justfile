# Chores.

# All that a change must pass.
check:
    .ci/run

# Runs the whole system on loopback.
quickstart *args:
    scripts/quickstart {{ args }}

# Benchmarks of single decisions.
bench *args:
    cargo bench --workspace --locked {{ args }}
