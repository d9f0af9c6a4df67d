.PHONY: build test race race-program lint run oracle mixed demo regression

build: # what the platform builds
	@build=$$(sed -n 's/^build = "\(.*\)"  *#.*/\1/p' deploy/balancer.toml) && [ -n "$$build" ] && echo "$$build" && sh -c "$$build"

test: # all tests; those of internal/frontend, internal/flight and so on start the program
	go test -count=1 ./...

TOOL = go tool -modfile=tools/go.mod

lint: # format, vet, golangci-lint with gofumpt over all packages and their tests, and that no program holds tests' helpers
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	$(TOOL) golangci-lint run ./...
	@! go list -deps -f '{{.ImportPath}} {{join .Imports " "}}' ./cmd/... | grep -E '^capercove/.* testing( |$$)' # tests' helpers are in no program

# Packages whose tests run their code in the test's own process and bear the race detector within three minutes together.
RACED = ./routing ./internal/addresses ./internal/backend ./internal/capacity ./internal/clockoffset ./internal/core ./internal/discovery \
	./internal/emulator ./internal/eventloop ./internal/exclusion ./internal/faults ./internal/fdshare ./internal/filelock ./internal/idclaim \
	./internal/load ./internal/netretry ./internal/peers ./internal/pg ./internal/scenario ./internal/session ./internal/settings \
	./internal/sim ./internal/simhost ./internal/statement ./internal/tenant ./internal/timerwheel ./internal/waitgroup

race: # the race detector over RACED
	go test -race -count=1 $(RACED)

# Packages whose tests start the program, which is then built with the race detector too. They take too long for CI.
RACED_PROGRAM = ./internal/admission ./internal/flight ./internal/frontend ./internal/intake ./internal/maintenance/... \
	./internal/management ./internal/membership/... ./internal/model ./internal/pcap ./internal/pooler ./internal/store

race-program: # the race detector over RACED_PROGRAM; a race ends the program, and the test that started it fails
	GORACE=halt_on_error=1 go test -race -tags raceprogram -count=1 -p 4 $(RACED_PROGRAM)

oracle: # statements against PostgreSQL's own parser; the parser is a need of this alone
	cd internal/statement/oracle && go test -count=1 ./...

OLDER =
mixed: # an older build and this one together; OLDER is the path of the older program
	@test -x "$(OLDER)" || { echo "mixed: OLDER names no program"; exit 2; }
	CAPERCOVE_OLDER_PROGRAM="$(abspath $(OLDER))" go test -count=1 ./internal/contract/mixed

demo: build # a fleet, a pooler and load on loopback
	bin/capercove-lab run --out found/demo scenarios/primary-killed.toml

run: build # one pooler; GW_CONFIG names its configuration
	exec bin/capercove

KIT =
regression: build # both deployments, in the simulator and on sockets; KIT is the bench's folder; wants the cores alone
	@test -x "$(KIT)/real/bin/lbreal" || { echo "regression: KIT names no folder of the bench"; exit 2; }
	@for site in "$(KIT)/sites/riga-members.toml" "$(KIT)/users/ljubljana-prod.toml"; do \
		"$(KIT)/bin/lbsim" score "$$site" --quick --why "$${WHY:-regression on both deployments}" && \
		"$(KIT)/real/bin/lbreal" score "$$site" --quick --why "$${WHY:-regression on both deployments}" || exit 1; \
	done
