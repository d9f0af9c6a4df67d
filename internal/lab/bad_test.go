package lab

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/emulator"
	"capercove/internal/load"
	"capercove/internal/pg"
	"capercove/internal/scenario"
)

// badVariable makes this test's program a pooler that breaks a rule, named by its value.
const badVariable = "CAPERCOVE_LAB_BAD"

// bad is a pooler that sends every statement to a database and breaks a rule on the way.
func bad(how string) {
	var c struct {
		Listen string
		Known  struct {
			Members []struct {
				Host string `json:"host_port"`
				Mode string
			}
		}
	}
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		panic(err)
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serveBad(conn, how, c.Known.Members[0].Host, c.Known.Members[len(c.Known.Members)-1].Host)
	}
}

func serveBad(c net.Conn, how, primary, replica string) {
	defer c.Close()
	s := pg.NewSession(1 << 20)
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		s.Feed(buf[:n])
		for {
			command, ok := s.Next()
			if !ok {
				break
			}
			if command.Query == "" {
				c.Write(command.Reply)
				continue
			}
			write := strings.HasPrefix(command.Query, "INSERT")
			to := primary
			if !write && (how == "stale" || how == "drained") {
				to = replica
			}
			answer := through(to, command.Query)
			switch {
			case how == "double" && write:
				answer = through(to, command.Query)
			case how == "twice":
				answer = append(answer, answer...)
			case how == "invent":
				answer = through(to, strings.Replace(command.Query, "id=", "id=f", 1))
			case how == "refuse" && write:
				answer = pg.AppendRefusal(nil, time.Second)
			case how == "lose" && !write:
				return // the connection ends without an answer
			}
			c.Write(answer)
		}
	}
}

// through sends a statement to a database and returns its answer as it came, without what tells of the database.
func through(addr, sql string) []byte {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return pg.AppendFailure(nil, pg.CodeSystemError, "no connection")
	}
	defer c.Close()
	link := pg.NewLink(1<<20, 1<<20, 1<<20)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(pg.AppendStartup(nil, "client", "core"))
	buf := make([]byte, 64<<10)
	for asked := false; ; {
		n, err := c.Read(buf)
		if err != nil {
			return pg.AppendFailure(nil, pg.CodeSystemError, "broken")
		}
		r, done, err := link.Feed(buf[:n])
		switch {
		case err != nil:
			return pg.AppendFailure(nil, pg.CodeSystemError, "spoilt")
		case done && !asked:
			asked = true
			c.Write(pg.AppendQuery(nil, sql))
		case done && r.Code != "":
			return pg.AppendFailure(nil, r.Code, r.Message)
		case done:
			return pg.AppendReady(r.Rows)
		}
	}
}

// Every rule that a pooler breaks on sockets is found, and the one that breaks none passes.
func TestBadPoolers(t *testing.T) {
	self, err := os.Executable()
	require.NoError(t, err)
	for how, rule := range map[string]emulator.Rule{"none": "", "double": emulator.TwiceRun, "twice": emulator.TwoAnswers, "invent": emulator.WrongAnswer,
		"refuse": emulator.RefusedRan, "lose": emulator.NoAnswer, "stale": emulator.Stale, "drained": emulator.Drained} {
		w := loadScenario(t, "calm", 3)
		w.Families[0].Members, w.Server.FallOver = 2, 1000
		w.Loads = []scenario.Load{{Class: "profile-read", Rate: 20}, {Class: "member-write", Rate: 5}}
		if how == "stale" { // the replica applies nothing for long
			w.Faults = []scenario.Fault{{At: 0, Kind: "lag", Target: "g1-1", Factor: 1e6}}
		}
		if how == "drained" {
			w.Faults = []scenario.Fault{{At: 0, Kind: "drain", Target: "g1-1"}}
			w.List.LateMS, w.Seconds = scenario.Range{0, 0}, 9.5
		}
		path := filepath.Join(t.TempDir(), "bad")
		writeFile(t, path, "#!/bin/sh\n"+badVariable+"="+how+" exec "+self+"\n")
		r, err := Real(context.Background(), w, Options{Binary: path, Dir: t.TempDir(), Host: "127.0.0.1"})
		require.NoError(t, err, how)
		if rule == "" {
			require.Empty(t, r.Ledger.Breaches, how)
			continue
		}
		require.NotZero(t, r.Ledger.Broken, how)
		found := false
		for _, b := range r.Ledger.Breaches {
			found = found || b.Rule == rule
		}
		require.True(t, found, "%s: %v", how, r.Ledger.Breaches)
	}
}

// A tool that is too slow itself says nothing of the pooler.
func TestVoid(t *testing.T) {
	self, err := os.Executable()
	require.NoError(t, err)
	w := loadScenario(t, "calm", 2)
	path := filepath.Join(t.TempDir(), "good")
	writeFile(t, path, "#!/bin/sh\n"+badVariable+"=none exec "+self+"\n")
	r, err := Real(context.Background(), w, Options{Binary: path, Dir: t.TempDir(), Host: "127.0.0.1",
		Progress: func(time.Duration, *load.Driver) { time.Sleep(2 * lateMost) }})
	require.NoError(t, err)
	require.Contains(t, r.Void, "late")
}
