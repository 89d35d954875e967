# Everything here needs Go and make only.
STACK := $(CURDIR)/.stack

.PHONY: run demo test bench lint

# run starts stand-ins and three daemons, and stays up.
run:
	@bash scripts/stack.sh $(STACK)

# demo starts the same, sends requests and checks the answers.
demo:
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

test: lint
	go test -race ./...
