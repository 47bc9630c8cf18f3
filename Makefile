.PHONY: build demo test lint run measure measure-members measure-door measure-lab measure-cost measure-accord measure-quota measure-virtual measure-capacity capacity-page measure-hollow measure-size measure-request soak

# A fresh machine needs Go 1.26, make and gcc (cgo, the external linker, -race); modules come by go.mod and go.sum.

build:
	mkdir -p bin && CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...

demo: build
	bin/tinsail demo

# knownred runs go test and fails as it does, but for the tests that KNOWN-RED.txt lists.
test: build lint
	go run ./internal/knownred -race -timeout 20m ./...

lint:
	@out=$$(gofmt -l cmd internal); test -z "$$out" || { echo "not gofmt-formatted: $$out"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Speed, memory and what usual clients keep under abuse: docs/design/http2.md has the figures.
measure:
	go test -run - -bench 'Fronts|Idle' -benchtime 1s ./internal/network
	go test -run - -bench Abuse -benchtime 1x ./internal/network

# Drains, an outage and a catalogue that lies, under load: docs/design/consul.md has the figures.
measure-members:
	go test -run - -bench Change ./internal/membership
	go test -run - -bench 'Drains|Outage|Lying|Catalogue' -benchtime 1x -timeout 15m ./cmd/tinsail

# The door's slowest answer, idle and under a flood: docs/design/service.md has the figures.
measure-door:
	go test -run - -bench Door -benchtime 1x ./cmd/tinsail

# How the laboratory's cost grows with the size of what it plays: docs/design/lab.md has the figures.
measure-lab:
	go test -run - -bench Sizes -benchtime 2x ./internal/lab/sim

# What decisions cost by size of fleet and reqs held, and reading the laboratory's wire.
measure-cost:
	go test -run - -bench 'Req|Decision|Worst' -benchtime 1000x -cpu 1 ./internal/balance
	go test -run - -bench Wire -benchtime 1000x -cpu 1 ./cmd/drill

# Random schedules of the accord in virtual time, the cost a req of a version, and the time of a change: docs/design/accord.md.
measure-accord:
	ACCORD_CASES=11000 go test -v -run 'OneVersion|ThreeHundred|ProposeTo' ./internal/fleet/accord
	go test -run - -bench Take ./internal/network/fleet/accord
	go test -run - -bench Version -benchtime 1x ./internal/network
	go test -run - -bench Propose -benchtime 1x ./cmd/tinsail

# The coming size in virtual time: what teams get and how long urgent reqs wait, with quotas lent and without; 20 seeds take some
# 1,200 s of one core. Rows and plots: docs/capacity.
measure-virtual:
	go run ./internal/lab/capacity/virtual -seeds $(or $(SEEDS),20) -rows docs/capacity/virtual.csv -plots docs/capacity lab/scenarios/size/quotas-greedy.star
	go run ./internal/lab/capacity/virtual -seeds $(or $(SEEDS),4) -only lent -rows docs/capacity/virtual.csv -plots docs/capacity lab/scenarios/size/quotas-day.star

# The slopes of docs/CAPACITY.md, all or PART=name of them: without the accord list, agent, changes, tenants, flight, flight-4k,
# flight-h2, most, module, placements, restart, restart-all; with it accord, accord-bare, accord-lease, accord-lag, rounds, change,
# rounds-lag, change-size, change-lag, change-down, recovery, recovery-all. Their rows go to docs/capacity. To be run on a quiet machine.
measure-capacity: build
	go run ./internal/lab/capacity/run -part '$(PART)'

# The tables of docs/CAPACITY.md, from the rows in docs/capacity.
capacity-page:
	go run ./internal/lab/capacity/page

# Quotas of teams under faults, 24 real processes, judged by what the backends saw: docs/design/quota.md has the figures.
measure-quota:
	TINSAIL_QUOTA_PROCESSES=24 TINSAIL_QUOTA_SEED=$(or $(SEED),1) go test -count=1 -v -run QuotaFaults -timeout 15m ./cmd/tinsail

# What hollow dispatchers cost the voters beside real ones, at 100, and what their processor time goes on, at 300.
measure-hollow:
	HOLLOW_SIZE=100 go test -count=1 -v -run HollowIsReal ./internal/lab/hollow
	go test -run - -bench Hollow -benchtime 1x -cpuprofile bin/cpu.out -o bin/hollow.test ./internal/lab/hollow/measure
	go tool pprof -top -cum bin/hollow.test bin/cpu.out | head -40

# The whole size on one machine, as a shortened day of some minutes: under 12 GiB and 250 processes.
measure-size:
	HOLLOW_DAY=full go test -count=1 -v -timeout 20m -run TestDay ./internal/lab/hollow/size

# The processor time that the real program spends on a request, on sockets.
measure-request:
	go test -run - -bench Request -benchtime 60000x -count 5 ./cmd/tinsail

# Real processes under overlapping troubles, judged by what the far sides saw: SEEDS=1-200 MINUTES=15 SIDE=4; SHRINK=1 plays a
# seed that fails again with fewer troubles. docs/operators/soak.md.
soak: build
	CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -tags shim -o bin/tinsail-shim ./cmd/tinsail
	go run ./internal/lab/soak/run -seeds $(or $(SEEDS),1-200) -minutes $(or $(MINUTES),15) -side $(or $(SIDE),4) $(if $(SHRINK),-shrink)

run: build
	exec bin/tinsail serve
