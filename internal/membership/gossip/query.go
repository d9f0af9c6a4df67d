package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	queryTimeout       = 3 * time.Second
	maxStateBytes      = 32 << 20 // of one response
	maxErrorBytes      = 1 << 10  // of the text of an error response
	maxParallelQueries = 16
)

// Query requests a pooler's view from its management address. It waits at most queryTimeout.
func Query(addr string) (state State, err error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/fleet", nil)
	if err != nil {
		return state, err
	}
	response, err := (&http.Client{Timeout: queryTimeout}).Do(request)
	if err != nil {
		return state, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body := io.LimitReader(response.Body, maxStateBytes)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes)) // without a text, the status is reported alone
		return state, fmt.Errorf("%s: %s: %s", addr, response.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(body).Decode(&state); err != nil {
		return state, fmt.Errorf("%s: no view of a fleet: %w", addr, err)
	}
	return state, nil
}

// ClusterState contains the views of the poolers that one of them sees as live, and the errors for those that could not
// be queried.
type ClusterState struct {
	Views  []State           `json:"views"`
	Failed map[string]string `json:"failed,omitempty"` // error by the name of the pooler
}

// QueryAll queries all live poolers of a view at their management addresses, up to maxParallelQueries at a time.
func QueryAll(from State) ClusterState {
	cluster := ClusterState{Views: []State{from}, Failed: map[string]string{}}
	var mu sync.Mutex
	var queries sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for _, pooler := range from.Poolers {
		if pooler.Name == from.Name || pooler.State == poolerGone || pooler.State == poolerLeft {
			continue
		}
		addr := pooler.management()
		if addr == "" {
			mu.Lock() // queries of other poolers are already running
			cluster.Failed[pooler.Name] = "it publishes no management address"
			mu.Unlock()
			continue
		}
		queries.Go(func() {
			slots <- struct{}{}
			state, err := Query(addr)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				cluster.Failed[pooler.Name] = err.Error()
				return
			}
			cluster.Views = append(cluster.Views, state)
		})
	}
	queries.Wait()
	slices.SortFunc(cluster.Views, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	return cluster
}

// management returns the management address that a pooler publishes; "" if there is none.
func (p Pooler) management() string {
	var published struct{ Management string }
	_ = json.Unmarshal(p.Says, &published) // another pooler may publish anything
	return published.Management
}

// Agree reports whether all live poolers were queried and their views are equal.
func (c ClusterState) Agree() bool {
	for _, state := range c.Views {
		if state.Digest != c.Views[0].Digest {
			return false
		}
	}
	return len(c.Failed) == 0
}
