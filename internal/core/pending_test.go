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
