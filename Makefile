.PHONY: build demo test lint run

# A fresh machine needs Go 1.26 and make; modules come by go.mod and go.sum.

build:
	mkdir -p bin && go build -buildvcs=false -o bin/ ./cmd/...

demo: build
	bin/tinsail demo

test: build lint
	go test -race ./...

lint:
	@out=$$(gofmt -l cmd internal); test -z "$$out" || { echo "not gofmt-formatted: $$out"; exit 1; }
	go vet ./...

run: build
	exec bin/tinsail serve
