package faults_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
)

const patience = 20 * time.Second

var anywhere = netip.MustParseAddrPort("127.0.0.1:0")

// echo is a process that answers each datagram and each stream with what came, until the test ends.
func echo(t *testing.T) netip.AddrPort {
	l, u, err := faults.Listen(anywhere)
	require.NoError(t, err)
	at := l.Addr().(*net.TCPAddr).AddrPort()
	t.Cleanup(func() { l.Close(); u.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, from, err := u.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			u.WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	return at
}

// two returns a net with a process "b" behind a relay, and a way to reach it as "a", from an address of its own.
func two(t *testing.T, seed uint64) (n *faults.Net, stream func() net.Conn, datagrams func() *net.UDPConn, dial func() (net.Conn, error)) {
	n = faults.New(seed)
	own := netip.MustParseAddr("127.77.0.1")
	n.Register("a", own)
	r, err := n.Stand("b", anywhere, echo(t))
	require.NoError(t, err)
	t.Cleanup(r.Close)
	dial = func() (net.Conn, error) {
		return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: own.AsSlice()}}).Dial("tcp", r.Addr())
	}
	stream = func() net.Conn {
		c, err := dial()
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		return c
	}
	datagrams = func() *net.UDPConn {
		to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.Addr()))
		c, err := net.DialUDP("udp", &net.UDPAddr{IP: own.AsSlice()}, to)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		return c
	}
	return n, stream, datagrams, dial
}

func ask(t *testing.T, c net.Conn, text string) string {
	t.Helper()
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
	buf := make([]byte, len(text))
	_, err = io.ReadFull(c, buf)
	require.NoError(t, err)
	return string(buf)
}

// A cut is silent both ways or one way, for streams that are open, for new ones, and for datagrams. When it is over, streams go
// on where they were, as they do on a real network, and datagrams that were sent meanwhile are lost.
func TestCut(t *testing.T) {
	n, stream, datagrams, _ := two(t, 1)
	open, d := stream(), datagrams()
	require.Equal(t, "one", ask(t, open, "one"))
	require.Equal(t, "one", ask(t, d, "one"))
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		n.Set(way[0], way[1], faults.Link{Cut: true})
		_, err := open.Write([]byte("two"))
		require.NoError(t, err)
		_, err = d.Write([]byte("two"))
		require.NoError(t, err)
		begun := stream()
		_, err = begun.Write([]byte("new"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return n.Count(way[0], way[1]).Lost > 0 }, patience, time.Millisecond)
		n.Heal()
		buf := make([]byte, 3)
		for c, want := range map[net.Conn]string{open: "two", begun: "new"} {
			_, err := io.ReadFull(c, buf)
			require.NoError(t, err)
			require.Equal(t, want, string(buf))
		}
		require.Equal(t, "six", ask(t, d, "six"), "and not what was lost")
	}
	require.Equal(t, int64(1), n.Count("a", "b").Lost)
	require.Equal(t, int64(1), n.Count("b", "a").Lost)
	require.Contains(t, n.Course(), "seed 1\n")
	require.Contains(t, n.Course(), "b > a: cut")
}

// A reset breaks streams that are open and new ones; an end passes as an end.
func TestResetAndEnd(t *testing.T) {
	n, stream, _, dial := two(t, 1)
	c := stream()
	require.Equal(t, "one", ask(t, c, "one"))
	n.Both("a", "b", faults.Link{Reset: true})
	_, err := c.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
	begun, err := dial()
	if err == nil { // the reset may come before the dial is through, or after
		defer begun.Close()
		_, err = begun.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "reset")
	n.Heal()
	c = stream()
	require.Equal(t, "two", ask(t, c, "two"))
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Empty(t, rest)
}

// What befalls each datagram hangs on the seed and its place alone: two runs are alike, another seed is not.
func TestDatagramsBySeed(t *testing.T) {
	const sent = 400
	run := func(seed uint64) (got string, c faults.Counters) {
		n, _, datagrams, _ := two(t, seed)
		n.Set("b", "a", faults.Link{Loss: 0.2, Twice: 0.1, Flip: 0.1, Truncate: 0.1})
		d := datagrams()
		var all []string
		for i := range sent {
			before := n.Count("b", "a")
			_, err := d.Write(fmt.Appendf(nil, "%04d", i))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return n.Count("b", "a").Datagrams > before.Datagrams }, patience, 20*time.Microsecond)
			after := n.Count("b", "a")
			for range 1 - (after.Lost - before.Lost) + after.Doubled - before.Doubled {
				buf := make([]byte, 16)
				k, err := d.Read(buf)
				require.NoError(t, err)
				all = append(all, fmt.Sprintf("%q", buf[:k]))
			}
		}
		return fmt.Sprint(all), n.Count("b", "a")
	}
	got, c := run(5)
	again, _ := run(5)
	other, _ := run(6)
	require.Equal(t, got, again)
	require.NotEqual(t, got, other)
	require.InDelta(t, 0.2*sent, c.Lost, 40)
	require.InDelta(t, 0.08*sent, c.Doubled, 30)
	require.InDelta(t, 0.16*sent, c.Garbled, 40)
}

// Delayed datagrams overtake each other; streams never do, however their pieces are delayed, and a bit that is turned over in
// them is one bit.
func TestOrder(t *testing.T) {
	n, stream, datagrams, _ := two(t, 9)
	n.Both("a", "b", faults.Link{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Late: 0.5})
	d := datagrams()
	var got, want []string
	for i := range 100 {
		want = append(want, fmt.Sprintf("%03d", i))
		_, err := d.Write([]byte(want[i]))
		require.NoError(t, err)
	}
	for range 100 {
		buf := make([]byte, 3)
		_, err := d.Read(buf)
		require.NoError(t, err)
		got = append(got, string(buf))
	}
	require.NotEqual(t, want, got)
	slices.Sort(got)
	require.Equal(t, want, got)

	text := bytes.Repeat([]byte("0123456789"), 20000)
	through := func() []byte {
		c := stream()
		go func() { c.Write(text); c.(*net.TCPConn).CloseWrite() }()
		back, err := io.ReadAll(c)
		require.NoError(t, err)
		return back
	}
	require.True(t, bytes.Equal(text, through()))
	n.Heal()
	n.Set("a", "b", faults.Link{Flip: 1})
	back, wrong := through(), 0
	require.Len(t, back, len(text))
	for i := range text {
		for bits := text[i] ^ back[i]; bits > 0; bits &= bits - 1 {
			wrong++
		}
	}
	require.Positive(t, wrong)
	require.LessOrEqual(t, wrong, int(n.Count("a", "b").Garbled))
}

// Schedules come from their seed, can be carried out, and end whole; and a failing one is made as small as what makes it fail.
func TestPlans(t *testing.T) {
	names := []string{"a", "b", "c"}
	require.Equal(t, faults.Plan(3, names, 30), faults.Plan(3, names, 30))
	require.NotEqual(t, faults.Plan(3, names, 30), faults.Plan(4, names, 30))
	found := 0
	for seed := range uint64(300) {
		plan := faults.Plan(seed, names, 40)
		require.True(t, faults.Possible(plan), "seed %d: %v", seed, plan)
		// A fault that shows when b is killed while c is paused.
		fails := func(plan []faults.Step) bool {
			paused := false
			for _, s := range plan {
				switch {
				case s.What == faults.Pause && s.One == "c":
					paused = true
				case s.What == faults.Resume && s.One == "c":
					paused = false
				case s.What == faults.Kill && s.One == "b" && paused:
					return true
				}
			}
			return false
		}
		if !fails(plan) {
			continue
		}
		found++
		small := faults.Shrink(plan, 2000, fails)
		require.True(t, fails(small) && faults.Possible(small), "seed %d", seed)
		require.LessOrEqual(t, len(small), 5, "seed %d: %v", seed, small)
	}
	require.Greater(t, found, 20)
}
