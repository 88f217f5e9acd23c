# Soak options: SEEDS=n runs seeds 1 to n, SEED=n only seed n, MINUTES=n random seeds
# for n minutes; MACHINES=n sets the number of machines.
SOAK = $(if $(SEEDS),-soak-seeds $(SEEDS)) $(if $(SEED),-soak-seed $(SEED)) $(if $(MINUTES),-soak-minutes $(MINUTES)) \
	$(if $(MACHINES),-soak-machines $(MACHINES))

.PHONY: build demo test lint soak measure measure-moves measure-convergence measure-routing

build:
	go build -o bin/ ./cmd/teasel-node ./cmd/teasel-sidecar ./cmd/teaselctl ./cmd/teasel-demo ./test/platform ./test/upstream
	bash tools/check-libc.sh

# Runs a good move, which completes, and a bad one, which is taken back; under 60 s.
demo:
	go run ./cmd/teasel-demo

test: build
	bash tools/test.sh

lint:
	bash tools/lint.sh

# Runs nodes as processes and injects faults generated from a seed; about 45 s per seed.
soak:
	go test -count=1 -timeout 5h ./test/soak -args $(SOAK)

measure:
	go run ./measure/calls
	go run ./measure/calls -sizes 6 -big

measure-convergence:
	go run ./measure/convergence

measure-moves:
	@go run ./measure/moves -scenarios measure/moves/scenarios.toml

# Prints the time that each routing policy adds to a call; about 50 s.
measure-routing:
	go run ./measure/routing
