package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"capercove/internal/emulator"
	"capercove/internal/scenario"
	"capercove/internal/sim"
)

// Clients give up between these shares of their class's deadline.
const (
	minTimeoutShare = 0.4
	maxTimeoutShare = 1.0
)

// Driver sends the loads of a scenario to a target. All its methods may be called only on the loop.
type Driver struct {
	Result Result

	scenario *scenario.Scenario
	loop     sim.Loop
	ledger   *emulator.Ledger
	target   Target
	start    time.Duration
	lastID   int
	open     int
}

// NewDriver returns a driver that has not sent anything yet.
func NewDriver(
	described *scenario.Scenario, loop sim.Loop, ledger *emulator.Ledger, target Target,
) *Driver {
	return &Driver{
		Result:   newResult(described),
		scenario: described,
		loop:     loop,
		ledger:   ledger,
		target:   target,
	}
}

// Open returns the number of requests that are not answered yet.
func (driver *Driver) Open() int { return driver.open }

// Start begins all loads. Each draws its requests from a random source of its own, so that they depend on the seed
// alone.
func (driver *Driver) Start() {
	driver.start = driver.loop.Now()
	for i := range driver.scenario.Loads {
		load := &driver.scenario.Loads[i]
		arrivals := &arrivals{
			load:   load,
			number: i,
			random: rand.New(rand.NewPCG(driver.scenario.Seed, uint64(i)+1)),
			at:     load.From,
			end:    load.To,
		}
		if arrivals.end == 0 {
			arrivals.end = driver.scenario.Seconds
		}
		driver.scheduleNext(arrivals)
	}
}

// arrivals is the Poisson process of one load.
type arrivals struct {
	load      *scenario.Load
	number    int // of the load
	random    *rand.Rand
	at        float64 // time of the latest request, in seconds after the beginning
	end       float64 // in seconds after the beginning
	scheduled int     // number of requests so far
}

// clientRequest is a request as its client sees it, which may take several attempts.
type clientRequest struct {
	load         *scenario.Load
	class        *scenario.Class
	key          string
	due          time.Duration // when the first attempt is to be sent, since the Unix epoch
	mislabelled  bool          // a read that calls a function which writes
	timeoutShare float64       // of the class's deadline
	pooler       int
	retriesLeft  int
	isRetry      bool
	counts       bool // in the result: it does not belong to the warm-up
}

// isWrite reports whether the request writes, even if its class is one of reads.
func (client *clientRequest) isWrite() bool {
	return client.class.Kind == scenario.Write || client.mislabelled
}

// sql returns the statement without its label.
func (client *clientRequest) sql() string {
	switch {
	case client.class.Kind == scenario.Write:
		return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', 'x') RETURNING val", client.key)
	case client.mislabelled:
		return fmt.Sprintf("SELECT nextval('seen'), val FROM state WHERE uid = '%s'", client.key)
	default:
		return fmt.Sprintf("SELECT val FROM state WHERE uid = '%s'", client.key)
	}
}

// scheduleNext draws the next request of a load and schedules it, unless the load has ended.
func (driver *Driver) scheduleNext(arrivals *arrivals) {
	// The order of the draws decides which requests a seed stands for.
	random, load := arrivals.random, arrivals.load
	arrivals.at += random.ExpFloat64() / load.Rate
	if arrivals.at >= arrivals.end {
		return
	}
	keyNumber := arrivals.scheduled
	if load.Keys > 0 {
		keyNumber = random.IntN(load.Keys)
	}
	arrivals.scheduled++
	client := &clientRequest{
		load:         load,
		class:        driver.scenario.Class(load.Class),
		key:          fmt.Sprintf("%s-%d-%d", load.Tenant, arrivals.number, keyNumber),
		due:          driver.start + scenario.Seconds(arrivals.at),
		mislabelled:  random.Float64() < load.Mislabel,
		timeoutShare: minTimeoutShare + (maxTimeoutShare-minTimeoutShare)*random.Float64(),
		pooler:       random.IntN(driver.scenario.Poolers),
		retriesLeft:  load.Retries,
		counts:       arrivals.at >= driver.scenario.Warmup,
	}
	driver.loop.At(client.due, func() {
		driver.scheduleNext(arrivals)
		driver.recordArrival(client)
		driver.send(client)
	})
}

// newRequest returns the next attempt of a client.
func (driver *Driver) newRequest(client *clientRequest) *Request {
	driver.lastID++
	timeout := time.Duration(client.timeoutShare * float64(scenario.Millis(client.class.DeadlineMS)))
	request := &Request{
		ID:       fmt.Sprintf("%08x", driver.lastID),
		Class:    client.class,
		Load:     client.load,
		Key:      client.key,
		Write:    client.isWrite(),
		Pooler:   client.pooler,
		Deadline: driver.loop.Now() + timeout,
	}
	timeLeft := request.Deadline - driver.loop.Now()
	request.SQL = fmt.Sprintf("%s /* id=%s,c=%s,d=%d,cluster=%d,tenant=%s */", client.sql(), request.ID,
		client.class.Name, timeLeft.Milliseconds(), driver.group(client.key), client.load.Tenant)
	return request
}

// group returns the group of the family that a key belongs to.
func (driver *Driver) group(key string) int {
	hash := 0
	for _, character := range []byte(key) {
		hash = hash*31 + int(character)
	}
	families := driver.scenario.Families
	return families[uint(hash)%uint(len(families))].Group
}

// send sends an attempt, and cancels it at its deadline.
func (driver *Driver) send(client *clientRequest) {
	request := driver.newRequest(client)
	driver.open++
	driver.ledger.RequestSubmitted(request.ID)
	finished := false
	driver.loop.At(request.Deadline, func() {
		if finished {
			return
		}
		finished = true
		driver.ledger.RequestFinished(driver.loop.Now(), request.ID, emulator.Unanswered, "")
		driver.target.Cancel(request)
		driver.finish(client, Response{Outcome: emulator.Unanswered})
	})
	driver.target.Send(request, func(response Response) {
		if finished { // the response crossed the cancellation
			return
		}
		finished = true
		if response.At == 0 {
			response.At = driver.loop.Now()
		}
		driver.ledger.RequestFinished(driver.loop.Now(), request.ID, response.Outcome, response.Value)
		driver.finish(client, response)
	})
}

// finish ends an attempt: it schedules a retry, or records the response.
func (driver *Driver) finish(client *clientRequest, response Response) {
	driver.open--
	if response.Outcome == emulator.Rejected && client.retriesLeft > 0 {
		driver.scheduleRetry(client, response.RetryAfter)
		return
	}
	driver.recordResponse(client, response)
}

// scheduleRetry schedules another attempt after a rejection.
func (driver *Driver) scheduleRetry(client *clientRequest, retryAfter time.Duration) {
	wait := scenario.Millis(client.load.RetryMS)
	if client.load.HonorRetryAfter && retryAfter > 0 {
		wait = retryAfter
	}
	if !client.isRetry {
		driver.recordFirstRetry(client)
	}
	retry := *client
	retry.retriesLeft--
	retry.isRetry = true
	driver.loop.At(driver.loop.Now()+wait, func() { driver.send(&retry) })
}
