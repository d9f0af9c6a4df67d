package routing_test

import (
	"fmt"
	"time"

	"capercove/routing"
)

// A host passes batches of events to the router and executes its actions.
func Example() {
	router := routing.New(routing.Settings{
		Routers: 1, MaxAttempts: 3, CanProbe: true, DrainGrace: time.Second,
		Classes: []routing.Class{{
			Read: routing.AnyRead, LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, Weight: 1,
		}},
	}, 1)
	now := time.Hour // the host's clock
	nodes := []routing.Node{{ID: 1, State: routing.Ready}}
	router.Step(now, []routing.Event{{Kind: routing.ListComplete, Nodes: nodes}}, nil)
	actions := router.Step(now, []routing.Event{{
		Kind: routing.RequestArrived, Request: 7,
		Arrival: routing.Arrival{Session: 42, TimeLeft: time.Second},
	}}, nil)
	for _, action := range actions {
		if action.Kind == routing.Send {
			fmt.Printf("send request %d to node %d\n", action.Request, action.Node)
		}
	}
	// Output: send request 7 to node 1
}
