# Targets for people and for .ci/run.

GO      ?= go
LINT    := $(GO) tool -modfile=tools/go.mod golangci-lint
SCHEMAS := $(patsubst schema/%.yaml,%,$(wildcard schema/*.yaml))

.PHONY: check fmt lint generate generated vet test bench slopes page

check: lint generated vet test ## Everything that CI checks.

fmt: ## Formats the code.
	$(LINT) fmt ./...

lint: ## Formatter and linter must be clean.
	$(LINT) fmt --diff ./...
	$(LINT) run --allow-parallel-runners ./...

generate: ## Generates api/ from schema/.
	./tools/generate.sh api $(SCHEMAS)

generated: ## Fails if api/ is not what schema/ generates.
	./tools/check-generated.sh $(SCHEMAS)

vet:
	$(GO) vet ./...

test: ## All tests but those that KNOWN-RED.txt names.
	GO=$(GO) ./tools/test.sh

bench: ## Measures the policies and the cost of a decision against their targets.
	$(GO) test -count=1 -v -run 'TestGoals' ./bench/policy
	$(GO) test -run '^$$' -bench Decision ./routing
	$(GO) test -run '^$$' -bench . -benchtime 2s ./bench/overhead
	$(GO) test -run '^$$' -bench ControlBytes -benchtime 1x ./demo

slopes: ## Measures what control costs a node against the sizes that grow; some minutes.
	./bench/slopes/run.sh docs/capacity/slopes.json
	$(MAKE) page

page: ## Writes the measured slopes into the capacity page.
	$(GO) run ./bench/slopes page
