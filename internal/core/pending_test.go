package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/routing"
)

// pipeliningClient submits its next request as soon as one is rejected.
type pipeliningClient struct {
	harness   *harness
	left      int // requests that it has not submitted yet
	rejected  int
	submitted int
}

func (p *pipeliningClient) submit() {
	p.left--
	p.submitted++
	request := p.harness.request(fmt.Sprint("request ", p.submitted), p)
	request.Class = classKeyed // waits for a primary
	p.harness.core.Submit(request)
}

func (p *pipeliningClient) Failed(core.Failure) {}

func (p *pipeliningClient) Served([]byte) {}

func (p *pipeliningClient) Rejected(time.Duration) {
	p.rejected++
	if p.left > 0 {
		p.submit()
	}
}

// Guards against an event loop that is held up by clients which send ahead: each rejection let the next request of its
// client in, for which another one was rejected, and the router got all of them before it could send any.
func TestRejectionsOfOneFlushAreBounded(t *testing.T) {
	harness := newHarness()
	harness.core.ReplaceMembers([]core.Member{newMember(2, routing.Ready), newMember(3, routing.Ready)})
	harness.pass(time.Second)
	client := &pipeliningClient{harness: harness, left: 10_000}
	for range harness.maxPending + 100 {
		client.submit()
	}
	harness.core.Flush()
	require.Equal(t, 100, client.rejected, "no more than there were too many")
	require.Equal(t, harness.maxPending+200, client.submitted)
	harness.core.Flush()
	require.Equal(t, 200, client.rejected)
}

// Guards against clients with one request each that are rejected for others which send ahead, or ask again and again:
// those give way first, in this order.
func TestClientsThatAskMostAreRejectedFirst(t *testing.T) {
	harness := newHarness()
	harness.core.ReplaceMembers([]core.Member{newMember(2, routing.Ready), newMember(3, routing.Ready)})
	harness.pass(time.Second)
	demands := []core.Request{{}, {RecentWork: 30}, {OpenBefore: 7}, {RecentWork: 4000}}
	each := harness.maxPending/2 + 1
	var clients [][]*client
	for kind, demand := range demands {
		clients = append(clients, nil)
		for i := range each {
			answered := &client{}
			request := harness.request(fmt.Sprint("kind ", kind, " request ", i), answered)
			request.Class, request.OpenBefore, request.RecentWork = classKeyed, demand.OpenBefore, demand.RecentWork
			harness.core.Submit(request)
			clients[kind] = append(clients[kind], answered)
		}
	}
	harness.core.Flush()
	var rejected []int
	for _, ofKind := range clients {
		answers := 0
		for _, answered := range ofKind {
			answers += len(answered.answers)
		}
		rejected = append(rejected, answers)
	}
	require.Equal(t, []int{0, 2*each - harness.maxPending, each, each}, rejected)
}
