//go:build review2

// Command standin2 plays the cases 6 to 10 of the review. Each run starts the project's pooler as the deploy file says,
// with stand-ins of databases, discovery and clients on loopback addresses, and checks one rule of the pages.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// world is one run of a case.
type world struct {
	root, tmp string
	trouble   bool
	begun     time.Time

	mu      sync.Mutex
	record  *os.File
	started []*exec.Cmd
	broke   []string
	served  map[string]bool // requests, by id; where a case uses it
}

var cases = map[string]func(*world){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(cannot)
	}
	folder, err := filepath.Abs(os.Args[2])
	w := &world{root: filepath.Dir(filepath.Dir(folder)), trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), served: map[string]bool{}}
	if err == nil {
		w.record, err = os.Create(filepath.Join(folder, "record.txt"))
	}
	if err == nil {
		w.tmp, err = os.MkdirTemp("", "review2-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	time.AfterFunc(100*time.Second, func() { w.giveUp("the case took too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.giveUp("interrupted")
	}()
	w.note("case %s, trouble %v", os.Args[1], w.trouble)
	cases[os.Args[1]](w)
	w.finish()
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// violation records that the rule was broken.
func (w *world) violation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broke = append(w.broke, text)
}

// end ends all processes and removes the temporary folder.
func (w *world) end(status int) {
	w.mu.Lock()
	for _, process := range w.started {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	w.mu.Unlock()
	_ = os.RemoveAll(w.tmp)
	os.Exit(status)
}

// giveUp ends a case that cannot run.
func (w *world) giveUp(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.note("cannot run: %s", text)
	fmt.Println("cannot run:", text)
	w.end(cannot)
}

// finish ends a case that has run.
func (w *world) finish() {
	if len(w.broke) == 0 {
		w.note("the rule held")
		fmt.Println("held")
		w.end(held)
	}
	fmt.Println("broken:", strings.Join(w.broke, "; "))
	w.end(broken)
}

// must gives up on an error.
func (w *world) must(err error) {
	if err != nil {
		w.giveUp("%v", err)
	}
}

// listen returns a listener on a free loopback port.
func (w *world) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	return listener
}

// freeAddress returns a loopback address that nobody listens on.
func (w *world) freeAddress() string {
	listener := w.listen()
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// pooler is one started pooler.
type pooler struct {
	world              *world
	listen, management string
	process            *exec.Cmd
	config             string // path of the platform's file
	log                string // path of its log
}

// platform is the platform's file.
type platform struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Management string          `json:"management"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     map[string]any  `json:"limits"`
	Known      list            `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// configure writes the platform's file whole, as a rename.
func (p *pooler) configure(discovery, settings string, known list) {
	text, err := json.Marshal(platform{
		Name: "n0", Listen: p.listen, Management: p.management, Discovery: discovery, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: known,
		Settings: json.RawMessage(settings),
	})
	p.world.must(err)
	p.world.must(os.WriteFile(p.config+".new", text, 0o600))
	p.world.must(os.Rename(p.config+".new", p.config))
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startPooler starts a pooler by the command of the deploy file, and waits until it answers an empty query.
func (w *world) startPooler(discovery, settings, operators string, known list) *pooler {
	p := &pooler{
		world: w, listen: w.freeAddress(), management: w.freeAddress(),
		config: filepath.Join(w.tmp, "config.json"), log: filepath.Join(w.tmp, "pooler.log"),
	}
	p.configure(discovery, settings, known)
	tables := filepath.Join(w.tmp, "capercove.toml")
	w.must(os.WriteFile(tables, []byte(operators), 0o600))
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	w.must(err)
	run := runLine.FindStringSubmatch(string(deploy))
	if run == nil {
		w.giveUp("the deploy file has no run")
	}
	log, err := os.Create(p.log)
	w.must(err)
	p.process = exec.Command("/bin/sh", "-c", run[1])
	p.process.Dir, p.process.Stdout, p.process.Stderr = w.root, log, log
	p.process.Env = append(os.Environ(), "GW_CONFIG="+p.config, "CAPERCOVE_CONFIG="+tables, "TMPDIR="+w.tmp,
		"GW_NAME=n0", "GW_LISTEN="+p.listen, "GW_DISCOVERY="+discovery)
	p.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.must(p.process.Start())
	w.mu.Lock()
	w.started = append(w.started, p.process)
	w.mu.Unlock()
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if c, err := dialClient(p.listen); err == nil {
			_, err := c.ask("", time.Second)
			c.close()
			if err == nil {
				break
			}
		}
		if time.Now().After(deadline) {
			p.copyLog()
			w.giveUp("the pooler is not ready")
		}
	}
	w.note("the pooler is ready")
	return p
}

// copyLog copies the pooler's log to the record.
func (p *pooler) copyLog() {
	text, _ := os.ReadFile(p.log)
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if len(line) > 300 {
			line = line[:300] + "..."
		}
		p.world.note("pooler: %s", line)
	}
}

// until waits for a condition, and reports whether it came true in time.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
