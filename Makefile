# Everyday tasks. `make run` needs PROXY_CONFIG, see README.md.
.PHONY: build test lint run ci prove-rest prove-limits prove-daemon prove-run prove-membership prove-fleet prove-fleet-rules prove-scale gate

# Proofs measure for a while and hold the program to bounds; arguments by ARGS="--requests 100000".
ARGS ?=

prove-rest:
	cargo build --locked --release --workspace
	target/release/prove-rest $(ARGS)

prove-run:
	cargo build --locked --release --workspace
	target/release/prove-run $(ARGS)

# Crowds of clients against the memory limit; ARGS="--short".
prove-limits:
	cargo build --locked --release --workspace
	target/release/prove-limits $(ARGS)

# ARGS="--seconds 600" is the long form.
prove-daemon:
	cargo build --locked --release --workspace
	target/release/prove-daemon $(ARGS)

# ARGS="--seeds 1000" is the long form, "--full" measures traffic at 1,000 members.
prove-membership:
	cargo build --locked --release -p violetgate-simulator
	target/release/prove-membership $(ARGS)

# Real processes; ARGS="--seed 7".
prove-fleet:
	cargo build --locked --release --workspace
	target/release/prove-fleet $(ARGS)

# Many gateways and several real processes, what each does alone summed; ARGS="--short".
prove-fleet-rules:
	cargo build --locked --release --workspace
	target/release/prove-fleet-rules $(ARGS)

# What each role costs by size, and a whole fleet of hollow front ends; ARGS="--short", ARGS="--only membership".
prove-scale:
	cargo build --locked --release --workspace
	target/release/prove-scale $(ARGS)

# What the regression gate plays next, and what it found last, on both deployments in turn.
gate:
	@tools/gate

build:
	cargo build --release

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	exec target/release/violetgate

ci:
	.ci/run
