.PHONY: build demo test lint measure measure-moves measure-convergence

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/teasel-demo

test: build
	go test -count=1 ./...

lint:
	bash tools/lint.sh

measure-moves:
	@go run ./test/measure/moves -scenarios test/measure/moves/scenarios.toml
