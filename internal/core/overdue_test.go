package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/routing"
)

// Guards against a request that is answered as one that may have run, though all its attempts are known not to have:
// if the event loop stalls over the deadline, or the program ends, before the router has seen the outcome, the answer
// still says what is known.
func TestAnswerWithoutRouterSaysWhetherRequestRan(t *testing.T) {
	ends := map[string]func(harness *harness){
		"stall over the deadline": func(harness *harness) {
			harness.now += 6 * time.Second
			harness.core.Tick()
		},
		"end of the program": func(harness *harness) { harness.core.AnswerAll() },
	}
	for name, end := range ends {
		for want, attemptEnds := range map[string]func(harness *harness, attempt *core.Attempt){
			"rejected": func(harness *harness, attempt *core.Attempt) {
				harness.core.Done(attempt, routing.NodeOverloaded, routing.Evidence{}, nil)
			},
			"failed": func(harness *harness, attempt *core.Attempt) {
				harness.core.Done(attempt, routing.ConnectionBroken, routing.Evidence{}, nil)
			},
			"failed, as it is in flight": func(*harness, *core.Attempt) {},
		} {
			t.Run(name+", "+want, func(t *testing.T) {
				harness, answered := newHarness(), &client{}
				attemptEnds(harness, harness.submitFirst(t, harness.request("x", answered)))
				end(harness)
				require.Equal(t, []string{want[:len(answered.answers[0])]}, answered.answers)
			})
		}
	}
}
