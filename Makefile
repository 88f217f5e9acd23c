.PHONY: build demo test lint measure measure-moves measure-convergence

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/teasel-demo

test: build
	go test -count=1 ./...

lint:
	bash tools/lint.sh

measure:
	go run ./test/measure/calls
	go run ./test/measure/calls -sizes 6 -big

measure-convergence:
	go run ./test/measure/convergence
