.PHONY: build demo test lint measure measure-moves measure-convergence measure-routing

build:
	go build -o bin/ ./cmd/teasel-node ./cmd/teasel-sidecar ./cmd/teaselctl ./cmd/teasel-demo ./test/platform ./test/upstream
	bash tools/check-libc.sh

# Shows a good move finish and a bad one taken back; under 60 s.
demo:
	go run ./cmd/teasel-demo

test: build
	go test -count=1 ./...

lint:
	bash tools/lint.sh

measure:
	go run ./measure/calls
	go run ./measure/calls -sizes 6 -big

measure-convergence:
	go run ./measure/convergence

measure-moves:
	@go run ./measure/moves -scenarios measure/moves/scenarios.toml

# Prints the time added by each policy for choosing an upstream; about 50 s.
measure-routing:
	go run ./measure/routing
