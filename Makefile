# Targets for people and for .ci/run.

GO      ?= go
LINT    := $(GO) tool -modfile=tools/go.mod golangci-lint
SCHEMAS := settings config records platform engine chat peer admin deployment slopes operations plan

.PHONY: check fmt lint generate generated vet test bench

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

test:
	$(GO) test -race ./...
