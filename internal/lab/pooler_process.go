package lab

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"capercove/internal/addresses"
	"capercove/internal/load"
	"capercove/internal/standin"
)

const (
	readyTimeout  = 10 * time.Second // for a pooler's start
	readyInterval = 20 * time.Millisecond
)

// poolerProcess is a pooler, which may be started several times.
type poolerProcess struct {
	binary      string
	address     string // for clients
	logPath     string
	environment []string
	reserved    poolerAddresses

	mu          sync.Mutex // guards all below
	command     *exec.Cmd  // the latest
	endExpected bool
	failure     string        // how it ended by itself; empty if it did not
	pastCPU     time.Duration // of processes that have ended
}

// poolerAddresses are the addresses of one pooler, reserved so that it can listen there whenever it runs.
type poolerAddresses struct {
	clients    *addresses.Reservation
	management *addresses.Reservation
}

// reservePoolerAddresses reserves free ports on a host.
func reservePoolerAddresses(host string) (poolerAddresses, error) {
	address, err := netip.ParseAddr(host)
	if err != nil {
		return poolerAddresses{}, err
	}
	anyPort := netip.AddrPortFrom(address, 0)
	clients, err := addresses.Reserve(anyPort)
	if err != nil {
		return poolerAddresses{}, err
	}
	management, err := addresses.Reserve(anyPort)
	if err != nil {
		_ = clients.Close() // the error above matters
		return poolerAddresses{}, err
	}
	return poolerAddresses{clients: clients, management: management}, nil
}

// release frees the addresses, where nobody may listen any more.
func (reserved poolerAddresses) release() {
	_ = reserved.clients.Close() // there is nobody to tell
	_ = reserved.management.Close()
}

// startPooler starts the pooler of a number. moreTables are appended to its operators' file.
func startPooler(
	ctx context.Context, fleet *standin.Fleet, number int, options Options, moreTables string,
) (*poolerProcess, error) {
	reserved, err := reservePoolerAddresses(options.Host)
	if err != nil {
		return nil, err
	}
	pooler, err := preparePooler(fleet, number, options, moreTables, reserved)
	if err == nil {
		err = pooler.start(ctx)
	}
	if err != nil {
		reserved.release()
		return nil, err
	}
	return pooler, nil
}

// preparePooler writes the pooler's files. The result owns the addresses.
func preparePooler(
	fleet *standin.Fleet, number int, options Options, moreTables string, reserved poolerAddresses,
) (*poolerProcess, error) {
	configuration := PoolerConfiguration{
		Number:     number,
		Listen:     reserved.clients.String(),
		Management: reserved.management.String(),
		Dir:        options.Dir,
		MoreTables: moreTables,
	}
	if err := configuration.Write(fleet); err != nil {
		return nil, err
	}
	temporaryDir := configuration.path(".tmp")
	if err := os.MkdirAll(temporaryDir, 0o700); err != nil {
		return nil, err
	}
	environment := append(os.Environ(), configuration.Environment()...)
	return &poolerProcess{
		binary:      options.Binary,
		address:     reserved.clients.String(),
		logPath:     configuration.path(".log"),
		environment: append(environment, "TMPDIR="+temporaryDir),
		reserved:    reserved,
	}, nil
}

// start starts the process, and records its end. Only kill ends the process, not the context.
func (pooler *poolerProcess) start(ctx context.Context) error {
	log, err := os.OpenFile(pooler.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	command := exec.CommandContext(context.WithoutCancel(ctx), pooler.binary)
	command.Env, command.Stdout, command.Stderr = pooler.environment, log, log
	pooler.mu.Lock()
	defer pooler.mu.Unlock()
	if err := command.Start(); err != nil {
		return fmt.Errorf("%s: %w", pooler.binary, err)
	}
	pooler.command, pooler.endExpected = command, false
	go pooler.recordEnd(command)
	return nil
}

// recordEnd waits for the end of a process.
func (pooler *poolerProcess) recordEnd(command *exec.Cmd) {
	err := command.Wait()
	pooler.mu.Lock()
	defer pooler.mu.Unlock()
	if state := command.ProcessState; state != nil {
		pooler.pastCPU += state.UserTime() + state.SystemTime()
	}
	if pooler.command == command && !pooler.endExpected {
		pooler.failure = fmt.Sprintf("ended: %v", err)
	}
}

// waitUntilReady waits until the pooler answers an empty query.
func (pooler *poolerProcess) waitUntilReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if failure := pooler.unexpectedEnd(); failure != "" {
			log, _ := os.ReadFile(pooler.logPath) // without it the message has no reason
			return fmt.Errorf("the pooler %s: %s", failure, lastLine(string(log)))
		}
		if load.Ready(ctx, pooler.address) {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return fmt.Errorf("the pooler at %s is not ready after %v: its log is %s",
		pooler.address, readyTimeout, pooler.logPath)
}

// lastLine returns the last line of a text that is not blank.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// expectEnd tells that the process is going to end, until it is started again.
func (pooler *poolerProcess) expectEnd() {
	pooler.mu.Lock()
	defer pooler.mu.Unlock()
	pooler.endExpected = true
}

// unexpectedEnd returns how the process ended by itself, empty if it did not.
func (pooler *poolerProcess) unexpectedEnd() string {
	pooler.mu.Lock()
	defer pooler.mu.Unlock()
	return pooler.failure
}

// signal sends a signal to the process, if it still runs.
func (pooler *poolerProcess) signal(signal syscall.Signal) {
	pooler.mu.Lock()
	defer pooler.mu.Unlock()
	_ = pooler.command.Process.Signal(signal) // fails if the process has ended
}

// kill ends the process, even if it is stopped, and frees its addresses.
func (pooler *poolerProcess) kill() {
	pooler.expectEnd()
	pooler.signal(syscall.SIGCONT)
	pooler.signal(syscall.SIGKILL)
	pooler.reserved.release()
}

// usage returns the CPU time of all processes so far, and the memory of the latest.
func (pooler *poolerProcess) usage() Usage {
	pooler.mu.Lock()
	defer pooler.mu.Unlock()
	usage, err := processUsage(pooler.command.Process.Pid)
	if err != nil {
		return Usage{CPU: pooler.pastCPU}
	}
	usage.CPU += pooler.pastCPU
	return usage
}
