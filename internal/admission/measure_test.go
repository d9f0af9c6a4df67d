package admission_test

import (
	"fmt"
	"math/rand/v2"
	"os" //nolint:depguard // the measurement writes a page
	"strconv"
	"strings"
	"sync" //nolint:depguard // the clients of the measurement are goroutines
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// retryTotals counts the clients whose first request was rejected, those of them that were served later, and their
// retries.
type retryTotals struct{ rejected, served, tries int }

// openLoop sends the requests of one tenant to a running pooler at a given rate, without waiting for replies.
type openLoop struct {
	bed    *testbed.Bed
	tenant string
	idle   chan *testbed.Client
	ids    *sync.Mutex // guards the numbers of bed.Statement

	mu              sync.Mutex
	offered, inTime int
	served          int
	patient, hasty  retryTotals // clients that retry as advised, and those that retry after 50 ms
	pending         sync.WaitGroup
}

// newOpenLoop returns an open loop that keeps up to idle unused connections.
func newOpenLoop(bed *testbed.Bed, tenant string, idle int, ids *sync.Mutex) *openLoop {
	return &openLoop{bed: bed, tenant: tenant, idle: make(chan *testbed.Client, idle), ids: ids}
}

// phase is a period with a constant rate of requests.
type phase struct {
	rate     float64 // requests a second
	duration time.Duration
	class    string
	work     func(*rand.Rand) int // draws a request's work in milliseconds
	retries  bool                 // rejected clients retry
}

// request is one request of an open loop.
type request struct {
	class, key      string
	objective, wait time.Duration
}

// newRequest returns the request of a number in a phase. Each request has a unique key.
func (l *openLoop) newRequest(phase phase, rng *rand.Rand, number int) request {
	made := request{
		class:     phase.class,
		key:       fmt.Sprintf("takes%d-%s%d-%d", phase.work(rng), l.tenant, number, int(phase.rate)),
		objective: 300 * time.Millisecond, wait: 1200 * time.Millisecond,
	}
	if phase.class == "report" {
		made.objective, made.wait = 5*time.Second, 10*time.Second
	}
	return made
}

// send sends a request and returns the reply and the time until the reply.
func (l *openLoop) send(request request) (reply pg.Reply, took time.Duration) {
	var client *testbed.Client
	select {
	case client = <-l.idle:
	default:
		client = l.bed.Client()
	}
	l.ids.Lock()
	sql := l.bed.Statement(request.class, request.key, request.wait)
	l.ids.Unlock()
	sql = strings.Replace(sql, "cluster=3", "cluster=3,from="+l.tenant, 1)
	begun := time.Now()
	reply = client.Ask(sql)
	took = time.Since(begun)
	select {
	case l.idle <- client:
	default:
		_ = client.Close() // its reply has been read
	}
	return reply, took
}

// run sends the requests of a phase. It returns when the last one is sent; pending counts those without a reply.
func (l *openLoop) run(phase phase) {
	rng := rand.New(rand.NewPCG(uint64(len(l.tenant)), uint64(phase.rate)))
	end := time.Now().Add(phase.duration)
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / phase.rate * float64(time.Second)))
		request := l.newRequest(phase, rng, number)
		l.pending.Go(func() {
			reply := l.sendFirst(request)
			if reply.Complete || !phase.retries {
				return
			}
			if number%2 == 0 {
				l.retry(request, reply, &l.hasty, 2)
			} else {
				l.retry(request, reply, &l.patient, 1)
			}
		})
	}
}

// sendFirst sends a request for the first time and counts it.
func (l *openLoop) sendFirst(request request) pg.Reply {
	reply, took := l.send(request)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offered++
	if reply.Complete {
		l.served++
	}
	if reply.Complete && took <= request.objective {
		l.inTime++
	}
	return reply
}

// retry retries a rejected request at most tries times. Hasty clients wait 50 ms, the others as advised.
func (l *openLoop) retry(request request, reply pg.Reply, totals *retryTotals, tries int) {
	l.count(func() { totals.rejected++ })
	for range tries {
		waitMS, _ := strconv.Atoi(reply.Detail) // without advice a client retries at once
		if totals == &l.hasty {
			waitMS = 50
		}
		time.Sleep(time.Duration(waitMS) * time.Millisecond)
		reply, _ = l.send(request)
		l.count(func() { totals.tries++ })
		if reply.Complete {
			l.count(func() { totals.served++ })
			return
		}
	}
}

// count changes the counters under the lock.
func (l *openLoop) count(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// share returns the share of the offered requests that were answered in time.
func (l *openLoop) share() float64 { return float64(l.inTime) / float64(max(1, l.offered)) }

func readWork(rng *rand.Rand) int   { return 49 + rng.IntN(36) }
func reportWork(rng *rand.Rand) int { return 810 + rng.IntN(590) }

// measuredTime is the duration of the measurement of a row of the page.
const measuredTime = 20 * time.Second

// equalWeights is tables with equal weights. The tenant "office" is the quiet one.
var equalWeights = strings.Replace(tables, "weight = 4.0", "weight = 1.0", 1)

// startMeasured starts a pooler with databases of four cores each.
func startMeasured(t *testing.T, tables string) *testbed.Bed {
	t.Helper()
	bed := testbed.Start(t, testbed.WithTables(tables))
	for _, database := range bed.Databases {
		database.Cores(4)
	}
	return bed
}

// measureBesideLoud measures a quiet tenant beside a loud one, with the given limiter. If limiter is empty,
// admission control is off.
func measureBesideLoud(t *testing.T, limiter string, loudPhase phase) (quiet, loud *openLoop) {
	t.Helper()
	admission := fmt.Sprintf("enabled = %v\nlimit = %q", limiter != "", max(limiter, "aimd"))
	bed := startMeasured(t, strings.Replace(equalWeights, "enabled = true", admission, 1))
	var ids sync.Mutex
	quiet = newOpenLoop(bed, "office-quiet", 100, &ids)
	loud = newOpenLoop(bed, "loud", 200, &ids)
	var both sync.WaitGroup
	if loudPhase.rate > 0 {
		both.Go(func() { loud.run(loudPhase) })
	}
	both.Go(func() { quiet.run(phase{rate: 20, duration: measuredTime, class: "read", work: readWork}) })
	both.Wait()
	quiet.pending.Wait()
	loud.pending.Wait()
	return quiet, loud
}

// TestMeasure writes the section on loopback of docs/measured/admission.md to the file that CAPERCOVE_MEASURE names. It
// takes some minutes.
func TestMeasure(t *testing.T) {
	path := os.Getenv("CAPERCOVE_MEASURE")
	if path == "" {
		t.Skip("CAPERCOVE_MEASURE names no file")
	}
	var page strings.Builder
	page.WriteString("## On loopback\n\n" +
		"One pooler, a primary and a replica with 4 cores each on loopback, open loop, 20 s a row. " +
		"The quiet tenant sends\n" +
		"20 reads a second (49 to 85 ms); the loud one sends 40 and then 120, or 2 and then 6 reports " +
		"(810 to 1400 ms).\n" +
		"`TestMeasure` writes this part: `CAPERCOVE_MEASURE=$PWD/found/admission.md " +
		"go test -count=1 -timeout 20m -run TestMeasure ./internal/admission`.\n\n")
	measureQuietTenant(t, &page)
	bed := measureRetries(t, &page)
	writeFigures(t, &page, bed)
	require.NoError(t, os.WriteFile(path, []byte(page.String()), 0o644))
}

// measureQuietTenant writes the table of the quiet tenant.
func measureQuietTenant(t *testing.T, page *strings.Builder) {
	t.Helper()
	page.WriteString("### A quiet tenant beside a loud one: share of its reads in time\n\n" +
		"| loud tenant | admission control off | aimd | gradient | the loud one's share, off | with the gradient |\n" +
		"| --- | --- | --- | --- | --- | --- |\n")
	for _, row := range []struct {
		name string
		phase
	}{
		{"none", phase{rate: 0, class: "read", work: readWork}},
		{"40 reads/s", phase{rate: 40, class: "read", work: readWork}},
		{"120 reads/s", phase{rate: 120, class: "read", work: readWork}},
		{"2 reports/s", phase{rate: 2, class: "report", work: reportWork}},
		{"6 reports/s", phase{rate: 6, class: "report", work: reportWork}},
	} {
		row.duration = measuredTime
		off, loudOff := measureBesideLoud(t, "", row.phase)
		aimd, _ := measureBesideLoud(t, "aimd", row.phase)
		gradient, loudGradient := measureBesideLoud(t, "gradient", row.phase)
		fmt.Fprintf(page, "| %s | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
			row.name, off.share(), aimd.share(), gradient.share(), loudOff.share(), loudGradient.share())
	}
}

// measureRetries writes the table of the retries, and returns the test bed of the pooler that served them.
func measureRetries(t *testing.T, page *strings.Builder) *testbed.Bed {
	t.Helper()
	page.WriteString("\n### Retries, by whether clients wait as advised\n\n" +
		"Bursts of 2 s at 160 reads a second every 6 s over 40, five times. " +
		"Of the rejected clients, half retry once as advised, and\nhalf retry twice after 50 ms.\n\n" +
		"| clients | rejected at first | served by a retry | share | tries |\n| --- | --- | --- | --- | --- |\n")
	bed := startMeasured(t, strings.Replace(equalWeights, `client = "user"`, `client = "key"`, 1))
	var ids sync.Mutex
	clients := newOpenLoop(bed, "loud", 200, &ids)
	for range 5 {
		clients.run(phase{rate: 40, duration: 4 * time.Second, class: "read", work: readWork, retries: true})
		clients.run(phase{rate: 160, duration: 2 * time.Second, class: "read", work: readWork, retries: true})
	}
	clients.pending.Wait()
	for name, totals := range map[string]retryTotals{"patient": clients.patient, "hasty": clients.hasty} {
		share := float64(totals.served) / float64(max(1, totals.rejected))
		fmt.Fprintf(page, "| %s | %d | %d | %.2f | %d |\n", name, totals.rejected, totals.served, share, totals.tries)
	}
	return bed
}

// writeFigures writes the telemetry of admission control.
func writeFigures(t *testing.T, page *strings.Builder, bed *testbed.Bed) {
	t.Helper()
	code, text := bed.Call("GET", "/api/telemetry")
	require.Equal(t, 200, code)
	page.WriteString("\n```\n")
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "app.door.") {
			page.WriteString(line + "\n")
		}
	}
	page.WriteString("```\n")
}
