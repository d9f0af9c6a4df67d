package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/routing"
)

// hedgedRequest is a request with two attempts in flight, at two databases.
type hedgedRequest struct {
	*harness
	client           *client
	streaming, other *core.Attempt
}

// newHedgedRequest submits a request whose first attempt is hedged. secondStreams selects the attempt whose answer
// streams.
func newHedgedRequest(t *testing.T, secondStreams bool) *hedgedRequest {
	t.Helper()
	hedged := &hedgedRequest{harness: newHarness(), client: &client{}}
	hedged.streaming = hedged.submitFirst(t, hedged.request("x", hedged.client))
	hedged.pass(time.Second) // the first is not answered
	require.Len(t, hedged.sent, 2)
	hedged.other = hedged.sent[1]
	require.NotEqual(t, hedged.streaming.Member.ID, hedged.other.Member.ID)
	if secondStreams {
		hedged.streaming, hedged.other = hedged.other, hedged.streaming
	}
	return hedged
}

// stream passes on a piece of the streaming answer.
func (h *hedgedRequest) stream(t *testing.T, piece string) {
	t.Helper()
	_, ok := h.core.AnswerPiece(h.streaming, []byte(piece), func() {})
	require.True(t, ok, piece)
}

// Once the answer of one attempt streams, it is the request's answer. The other attempt is cancelled, and its later
// events have no effect: they must neither end the answer nor mix data into it.
func TestHedgedAttemptHasNoEffectOnceAnAnswerStreams(t *testing.T) {
	for name, later := range map[string]func(t *testing.T, hedged *hedgedRequest){
		"is answered": func(_ *testing.T, hedged *hedgedRequest) {
			hedged.core.Done(hedged.other, routing.OK, routing.Evidence{}, []byte("whole"))
		},
		"fails": func(_ *testing.T, hedged *hedgedRequest) {
			hedged.core.Done(hedged.other, routing.NodeError, routing.Evidence{}, nil)
		},
		"breaks": func(_ *testing.T, hedged *hedgedRequest) {
			hedged.core.Done(hedged.other, routing.ConnectionBroken, routing.Evidence{}, nil)
		},
		"cannot be used": func(_ *testing.T, hedged *hedgedRequest) {
			hedged.core.DoneUnusable(hedged.other, routing.Evidence{})
		},
		"streams": func(t *testing.T, hedged *hedgedRequest) {
			_, ok := hedged.core.AnswerPiece(hedged.other, []byte("other"), func() {})
			require.False(t, ok)
		},
		"begins to stream": func(t *testing.T, hedged *hedgedRequest) {
			require.False(t, hedged.core.AnswerStarted(hedged.other))
		},
		"never ends": func(*testing.T, *hedgedRequest) {},
	} {
		for order, secondStreams := range map[string]bool{"first streams": false, "second streams": true} {
			t.Run(order+", other "+name, func(t *testing.T) {
				hedged := newHedgedRequest(t, secondStreams)
				hedged.stream(t, "one ")
				later(t, hedged)
				hedged.core.Flush()
				require.Equal(t, []*core.Attempt{hedged.other}, hedged.cancelled)
				hedged.stream(t, "two ")
				hedged.pass(6 * time.Second) // past the deadline, which no longer applies
				hedged.stream(t, "three")
				evidence := routing.Evidence{Role: routing.Replica, Position: hedged.now}
				hedged.core.Done(hedged.streaming, routing.OK, evidence, nil)
				hedged.core.Flush()
				require.Equal(t, "one two three", hedged.client.pieces)
				require.Equal(t, []string{"served "}, hedged.client.answers)
				require.Zero(t, hedged.core.OpenRequests())
			})
		}
	}
}

// newSentRequest submits a request, and returns it and its first attempt, which may be sent.
func newSentRequest(t *testing.T) (*harness, *core.Request, *core.Attempt) {
	t.Helper()
	harness := newHarness()
	request := harness.request("x", &client{})
	attempt := harness.submitFirst(t, request)
	require.True(t, harness.core.MaySend(attempt))
	return harness, request, attempt
}

// list applies an endpoint list in which the attempt's database has a state.
func (h *harness) list(attempt *core.Attempt, state routing.NodeState) {
	member := *attempt.Member
	member.State = state
	h.core.UpdateMembers([]core.Member{member})
}

// An attempt that waited for its connection must not be written if its client has disconnected, even if the attempt has
// not been cancelled, or if its deadline has passed. It may be written to a draining database for half of the drain
// grace only, unless the database is listed as ready again.
func TestMaySendRejectsObsoleteAttempts(t *testing.T) {
	t.Run("client disconnected", func(t *testing.T) {
		harness, request, attempt := newSentRequest(t)
		harness.core.ClientGone(request)
		require.False(t, harness.core.MaySend(attempt))
	})
	t.Run("deadline passed", func(t *testing.T) {
		harness, _, attempt := newSentRequest(t)
		harness.now += 5 * time.Second
		require.False(t, harness.core.MaySend(attempt))
	})
	for name, state := range map[string]routing.NodeState{"draining": routing.Draining, "gone": routing.Gone} {
		t.Run("database "+name, func(t *testing.T) {
			harness, _, attempt := newSentRequest(t)
			harness.list(attempt, state)
			harness.now += drainGrace/2 - time.Millisecond
			require.True(t, harness.core.MaySend(attempt), "within half of the drain grace")
			harness.list(attempt, state) // listed again: the drain grace counts from the first list
			harness.now += time.Millisecond
			require.False(t, harness.core.MaySend(attempt), "half of the drain grace is over")
			harness.list(attempt, routing.Ready)
			require.True(t, harness.core.MaySend(attempt), "the database is ready again")
		})
	}
}

// costObserver records the number of other attempts that each report contains.
type costObserver struct{ others []int }

func (o *costObserver) ObserveCost(_ time.Duration, others int) { o.others = append(o.others, others) }

// An attempt that a block stops before it is sent must not lower the count of attempts in flight at its database.
func TestUnsentAttemptLeavesInFlightCountUnchanged(t *testing.T) {
	harness, observer := newHarness(), &costObserver{}
	harness.core.ReplaceMembers([]core.Member{newMember(1, routing.Ready)})
	submit := func(name string) *core.Request {
		request := harness.request(name, &client{})
		request.CostObserver = observer
		harness.submit(request)
		return request
	}
	submit("stays in flight")
	require.Len(t, harness.sent, 1)
	harness.core.Block(core.Blocklist{
		Expiry: harness.now + time.Millisecond, AfterExpiry: map[routing.NodeID]bool{1: true},
	})
	harness.now += 2 * time.Millisecond // the blocklist has expired, and no timer has fired yet
	harness.core.ClientGone(submit("is stopped"))
	require.Len(t, harness.sent, 1)
	harness.core.Block(core.Blocklist{})
	submit("is observed")
	require.Len(t, harness.sent, 2)
	harness.core.Done(harness.sent[1], routing.OK, routing.Evidence{}, nil)
	require.Equal(t, []int{1}, observer.others)
}

// departingClient is a client that can check whether its user has disconnected.
type departingClient struct {
	client
	left bool
}

func (d *departingClient) HasLeft() bool { return d.left }

// A client has disconnected, and its front has not noticed yet. The core detects it, lets no attempt be written or sent
// for the client, and counts the request as gone once.
func TestSendsNothingForClientDetectedAsGone(t *testing.T) {
	harness, departing := newHarness(), &departingClient{}
	request := harness.request("x", departing)
	attempt := harness.submitFirst(t, request)
	require.True(t, harness.core.MaySend(attempt))
	departing.left = true
	require.False(t, harness.core.MaySend(attempt))
	harness.core.Done(attempt, routing.NotSent, routing.Evidence{}, nil)
	harness.core.ClientGone(request) // the front notices
	harness.pass(time.Second)
	require.Len(t, harness.sent, 1, "the request is not sent again")
	require.Empty(t, departing.answers)
	require.Zero(t, harness.core.OpenRequests())
	require.EqualValues(t, 1, harness.core.Counters().Fronts["test"]["read"].Gone)
}
