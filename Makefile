# Tools are pinned here and installed into bin/, which git ignores.
GOLANGCI_LINT_VERSION := v2.15.0
GINKGO_VERSION := v2.34.0
BIN := $(CURDIR)/bin

.PHONY: demo test soak lint format build fuzz bench clean

demo: build
	$(BIN)/sequoiarack demo

test: $(BIN)/ginkgo
	go vet ./...
	$(BIN)/ginkgo run -r --race --randomize-all --seed 1 --no-color --timeout 40m $(GINKGO_FLAGS)

# Plays random faults against hosts that run as processes: SOAK_SEEDS=FIRST-LAST,
# SOAK_SECONDS for each.
soak: build $(BIN)/ginkgo
	$(BIN)/ginkgo run --tags soak -v --no-color --seed 1 --timeout 80m ./platform/soak

build:
	go build -o $(BIN)/ ./cmd/...

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint run ./...
	$(BIN)/golangci-lint fmt --diff ./...

format: $(BIN)/golangci-lint
	$(BIN)/golangci-lint fmt ./...

bench: build
	$(BIN)/sequoiarack-bench relay --json
	$(BIN)/sequoiarack-bench policy --scenario all --json

$(BIN)/golangci-lint:
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(BIN)/ginkgo:
	GOBIN=$(BIN) go install github.com/onsi/ginkgo/v2/ginkgo@$(GINKGO_VERSION)

clean:
	rm -rf $(BIN) out
