.PHONY: all build test lint run check clean

all: build test

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Needs ROUTER_CONFIG and ROUTER_STATE, see README.md.
run: build
	target/release/meadowhold serve

check: build
	target/release/meadowhold check

clean:
	cargo clean
