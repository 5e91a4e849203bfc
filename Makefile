# Targets for developers. `make test` is the README's test command.
BIN := bin

.PHONY: build test lint fuzz demo soak soak-fresh measure-distribution measure-serving measure-moves

build:
	go build -o $(BIN)/ ./cmd/...

# The seed of the property tests is fixed, so that the verdict is the same on
# every run; set RAPID_SEED to another value to look further.
RAPID_SEED ?= 1
export RAPID_SEED

test:
	go test -race -count=1 ./...

lint:
	@unformatted=$$(go tool gofumpt -l .); test -z "$$unformatted" || { echo "gofumpt: $$unformatted"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Runs each fuzz target for a fixed number of inputs.
fuzz:
	@for p in $$(git grep -l '^func Fuzz' -- '*_test.go' | xargs -r -n1 dirname | sort -u); do \
	  for f in $$(grep -ho '^func Fuzz[A-Za-z0-9_]*' $$p/*_test.go | cut -c6-); do \
	    echo "fuzz $$p $$f"; go test ./$$p -run '^$$' -fuzz "^$$f$$" -fuzztime 2000x -parallel 4 || exit 1; \
	  done; done

demo: build
	$(BIN)/nutmeghoist-measure demo

# Plays the seeds that once broke a promise, with processes on loopback addresses.
soak: build
	$(BIN)/nutmeghoist-soak --regressions

# Plays seeds that were not played before.
soak-fresh: build
	$(BIN)/nutmeghoist-soak --seed $$(date +%s) --seeds 3

measure-distribution: build
	$(BIN)/nutmeghoist-measure distribution $(if $(FULL),--full)

measure-serving: build
	$(BIN)/nutmeghoist-measure serving

measure-moves: build
	$(BIN)/nutmeghoist-measure moves
