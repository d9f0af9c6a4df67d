package faults_test

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// A pooler of the shipped program between faults that come from a seed: its links to the databases are cut, both ways or one,
// slowed and reset, it is stopped and killed. Every request that it takes while it lives gets one answer; a write reaches
// the primary once at the most, and not at all if it is called refused; when all is whole again, so is the service.
func TestPoolerUnderFaults(t *testing.T) {
	first, last := uint64(0), uint64(3)
	if more := os.Getenv("RIG_SEEDS"); more != "" { // "20-60"
		_, err := fmt.Sscanf(more, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	for seed := first; seed < last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := faults.New(seed)
			n.Register("n0", netip.MustParseAddr("127.0.0.1"))
			b := testbed.Start(t, func(b *testbed.Bed) {
				for i, d := range b.Databases {
					r, err := n.Stand(d.ID, anywhere, netip.MustParseAddrPort(d.Addr))
					require.NoError(t, err)
					t.Cleanup(r.Close)
					b.Known[i].Addr = r.Addr()
				}
			})
			t.Cleanup(func() {
				if t.Failed() {
					t.Log(n.Course())
				}
			})
			writes, down := 0, false
			ask := func(class string, pause bool) {
				c := b.Client()
				key := fmt.Sprintf("%s-%d-", class, writes)
				writes++
				if pause {
					n.Note("n0 is stopped with %s on its way", key)
					b.Signal(syscall.SIGSTOP)
				}
				c.Send(pg.AppendQuery(nil, b.Statement(class, key, 300*time.Millisecond)))
				if pause {
					b.Signal(syscall.SIGCONT)
				}
				r := c.Next()
				n.Note("%s: %v %s %q", key, r.Complete, r.Code, r.Value)
				require.True(t, r.Complete != (r.Code != ""), "%s: one answer", key)
				if class != "write" {
					return
				}
				came := 0
				for _, sql := range b.Databases[0].Got() {
					if strings.Contains(sql, key) {
						came++
					}
				}
				require.LessOrEqual(t, came, 1, "%s: sent again", key)
				switch {
				case r.Complete:
					require.Equal(t, "from db-0", string(r.Value), key)
					require.Equal(t, 1, came, key)
				case r.Code == pg.CodeFull:
					require.Zero(t, came, "%s: refused, but it came", key)
				}
			}
			for _, s := range faults.Plan(seed, []string{"n0", "db-0", "db-1"}, 14) {
				own := s.One == "n0"
				switch {
				case s.What == faults.Garble: // a value that was made otherwise looks like any other: not for this test
				case s.What == faults.Kill && own:
					n.Note("%s", s)
					require.NoError(t, b.Process().Kill())
					b.Wait()
					down = true
				case s.What == faults.Restart && own:
					n.Note("%s", s)
					b.Run()
					down = false
				case s.What == faults.Pause && own:
					if !down {
						ask("write", true)
					}
				case s.What == faults.Kill:
					n.Both("n0", s.One, faults.Link{Reset: true})
				case s.What == faults.Restart:
					n.Both("n0", s.One, faults.Link{})
				case s.What == faults.Pause || s.What == faults.Resume:
					for _, d := range b.Databases {
						if d.ID == s.One {
							n.Note("%s", s)
							d.Freeze(s.What == faults.Pause)
						}
					}
				default:
					n.Apply(s)
				}
				if !down {
					ask("write", false)
					ask("report", false)
				}
			}
			b.Eventually(func() bool {
				return b.Client().Ask(b.Statement("write", "last", time.Second)).Complete &&
					b.Client().Ask(b.Statement("report", "last", time.Second)).Complete
			}, "service is whole again")
		})
	}
}
