.PHONY: build test lint run

build:
	mkdir -p bin && go build -buildvcs=false -o bin/ ./cmd/...

test:
	go test -race ./...

lint:
	@out=$$(gofmt -l cmd internal); test -z "$$out" || { echo "not gofmt-formatted: $$out"; exit 1; }
	go vet ./...

run: build
	exec bin/tinsail
