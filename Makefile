# Everyday tasks. `make run` needs PROXY_CONFIG, see README.md.
.PHONY: build test lint run ci

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
