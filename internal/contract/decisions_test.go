package contract_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Size of the recording of decisions.
const (
	recordedRounds = 6000
	roundsPerHash  = 100
)

// The decisions are those of the recording, equal to the bit: the actions of three instances with different settings,
// over a fixed course of requests, outcomes, lists, probes, timers, clients that leave, and databases that are cold,
// slow, full, failing, silent, behind or swap roles. The first difference is shown in words.
func TestDecisionsAreThoseRecorded(t *testing.T) {
	t.Parallel()
	s := newSimulator(t)
	s.start()
	replies := make([][]byte, recordedRounds)
	for round := range replies {
		replies[round] = s.step()
	}
	requireRich(t, s)
	recorded := filepath.Join("testdata", "decisions", "replies.gz")
	if updating {
		writeReplies(t, recorded, replies)
	}
	for round, want := range readReplies(t, recorded) {
		if !bytes.Equal(want, replies[round]) {
			require.FailNowf(t, "another decision", "round %d of %d is the first that differs\nrecorded:\n%s\nnow:\n%s",
				round+1, recordedRounds, inWords(want), inWords(replies[round]))
		}
	}
	golden(t, "decisions/rounds.sha256", hashes(replies))
}

// requireRich checks that the recording holds what it is to hold: of each action and each outcome some.
func requireRich(t *testing.T, s *simulator) {
	t.Logf("actions by code %v, outcomes by status %v", s.actions, s.statuses)
	for _, code := range []uint8{actionAbort, actionDefer, actionTransmit, actionBounce, actionKeepInformed, actionProbe,
		actionCancel} {
		require.GreaterOrEqual(t, s.actions[code], 20, "actions of code %d", code)
	}
	for _, status := range []uint16{statusOK, statusMiss, statusCancelled, statusError, statusFull, statusTimeout,
		statusConnectFailed, statusReset, statusMoot} {
		require.GreaterOrEqual(t, s.statuses[status], 20, "outcomes of status %d", status)
	}
}

// hashes are of each hundred rounds, chained with all before.
func hashes(replies [][]byte) string {
	var b strings.Builder
	sum := sha256.New()
	for round, reply := range replies {
		sum.Write(reply)
		if (round+1)%roundsPerHash == 0 {
			fmt.Fprintf(&b, "%4d %x\n", round+1, sum.Sum(nil))
		}
	}
	return b.String()
}

func writeReplies(t *testing.T, path string, replies [][]byte) {
	t.Helper()
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	require.NoError(t, err)
	for _, reply := range replies {
		_, err = z.Write(reply)
		require.NoError(t, err)
	}
	require.NoError(t, z.Close())
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, b.Bytes(), 0o644))
}

// readReplies cuts the recording into replies.
func readReplies(t *testing.T, path string) (replies [][]byte) {
	t.Helper()
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	z, err := gzip.NewReader(f)
	require.NoError(t, err)
	all, err := io.ReadAll(z)
	require.NoError(t, err)
	for len(all) > 0 {
		size := 12 + binary.BigEndian.Uint32(all)
		replies = append(replies, all[:size])
		all = all[size:]
	}
	require.Len(t, replies, recordedRounds)
	return replies
}

// inWords shows the actions of a reply.
func inWords(reply []byte) string {
	var b strings.Builder
	names := map[uint8]string{actionAbort: "abort", actionDefer: "defer", actionTransmit: "transmit",
		actionBounce: "bounce", actionKeepInformed: "keep_informed", actionProbe: "probe", actionAs: "as",
		actionCancel: "abort_attempt"}
	for rest := reply[12:]; len(rest) >= 5; {
		size := binary.BigEndian.Uint32(rest[1:])
		fmt.Fprintf(&b, "  %s %x\n", names[rest[0]], rest[5:5+size])
		rest = rest[5+size:]
	}
	return b.String()
}

// The program answers the wire's own examples, skips nothing that is bad, and ends well at the end of its input.
func TestSimulatorWire(t *testing.T) {
	t.Parallel()
	empty := "\x00\x00\x00\x00\x40\xc0\x6e\x20\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01"
	about := string(record(eventAbout, u32(3)))
	frame := func(count uint32, body string) string {
		return string(bytes.Join([][]byte{u32(uint32(len(body))), f64(8412.25), u32(count), u32(1)}, nil)) + body
	}
	configure := func(text string) string {
		return frame(2, about+string(record(eventConfigure, u64(99), u32(uint32(len(text))), []byte(text))))
	}
	for _, c := range []struct {
		name, input, output string
		status              int
	}{
		{name: "nothing"},
		{name: "an empty batch", input: empty, output: "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01"},
		{name: "a cut header", input: empty[:7], status: 1},
		{name: "a cut body", input: frame(1, about)[:22], status: 1},
		{name: "a record past its end", input: frame(1, "\x13\x00\x00\x00\x09\x00\x00\x00\x03"), status: 1},
		{name: "bytes behind the records", input: frame(0, about), status: 1},
		{name: "no instance named", input: frame(1, string(record(eventElapsed, u64(1)))), status: 1},
		{name: "settings that are no JSON", input: configure("{"), status: 1},
		{name: "settings without classes", input: configure(`{"balancers": 1, "allowed": {"sendCap": 1}}`), status: 1},
		{name: "a word that means nothing", input: configure(strings.Replace(siteStrict, "await", "maybe", 1)), status: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			process := exec.Command(program(simulated))
			process.Stdin = strings.NewReader(c.input)
			var output bytes.Buffer
			process.Stdout = &output
			_ = process.Run() // the status is looked at below
			require.Equal(t, c.status, process.ProcessState.ExitCode())
			require.Equal(t, c.output, output.String())
		})
	}
}
