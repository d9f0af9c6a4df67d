package choice_test

import (
	"fmt"
	"time"

	"capercove/choice"
)

// A host tells the router what happened, in batches, and does what it is told.
func Example() {
	router := choice.New(choice.Settings{Routers: 1, MaxAttempts: 3, CanProbe: true, DrainGrace: time.Second,
		Classes: []choice.Class{{Read: choice.AnyRead, Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1}}}, 1)
	now := time.Hour // the host's clock
	router.Step(now, []choice.Event{{Kind: choice.ListFull, Nodes: []choice.Node{{ID: 1, State: choice.Ready}}}}, nil)
	actions := router.Step(now, []choice.Event{{Kind: choice.RequestArrived, Request: 7,
		Arrival: choice.Arrival{Session: 42, Expires: time.Second}}}, nil)
	for _, a := range actions {
		if a.Kind == choice.Send {
			fmt.Printf("send request %d to node %d\n", a.Request, a.Node)
		}
	}
	// Output: send request 7 to node 1
}
