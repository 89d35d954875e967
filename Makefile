# Everything here needs Go and make only.
STACK := $(CURDIR)/.stack

.PHONY: run demo run-own demo-own test bench lint

# run starts an emulated platform and three daemons, and stays up.
run:
	@bash scripts/platform.sh $(STACK)-platform

# demo starts the same, sends requests and checks the responses.
demo:
	@CORIANDERHUB_SUBNET=19 bash scripts/platform.sh $(STACK)-platform-demo \
		$(STACK)-platform-demo/bin/platform-demo --directory 127.0.19.1:18083 --directory 127.0.19.2:18083

# run-own and demo-own do so for the project's own interface to callers.
run-own:
	@bash scripts/stack.sh $(STACK)

demo-own:
	@CORIANDERHUB_PORT=17000 bash scripts/stack.sh $(STACK)-demo \
		$(STACK)-demo/bin/demo --seed 127.0.0.1:17001 --seed 127.0.0.1:17002 --seed 127.0.0.1:17003 \
		--key-file $(STACK)-demo/keys/workspace

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt would change these files"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# bench prints one row for each figure; it takes some minutes.
bench:
	go run ./cmd/bench

# The tests of the steward take more than the default limit of ten minutes beside other load.
# Tests that start daemons as processes run after the others, one package at a time. The daemon
# is built as for a deployment, without -race.
PROCESS_TESTS := /internal/(abuse|soak)$$

# test passes over the tests that KNOWN-RED.txt lists, and prints the list.
test: lint
	@if [ -s KNOWN-RED.txt ]; then echo "known to fail, not run:"; cat KNOWN-RED.txt; fi
	go test -race -timeout 30m -skip '$(shell bash scripts/known-red.sh)' $(shell go list ./... | grep -vE '$(PROCESS_TESTS)')
	go test -race -timeout 10m -skip '$(shell bash scripts/known-red.sh)' ./internal/soak
	go test -count=1 -timeout 30m -skip '$(shell bash scripts/known-red.sh)' ./internal/abuse
