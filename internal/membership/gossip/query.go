package gossip

import (
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
	callWait  = 3 * time.Second
	stateMost = 32 << 20 // bytes of one answer
	atOnce    = 16       // calls
)

// Query gets a pooler's view from its management address.
func Query(addr string) (s State, err error) {
	answer, err := (&http.Client{Timeout: callWait}).Get("http://" + addr + "/fleet")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	body := io.LimitReader(answer.Body, stateMost)
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, 1024))
		return s, fmt.Errorf("%s: %s: %s", addr, answer.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		return s, fmt.Errorf("%s: no view of a fleet: %w", addr, err)
	}
	return s, nil
}

// ClusterState is the views of all poolers that one names as live and that tell where they are managed, with those that could not be
// asked.
type ClusterState struct {
	Views  []State           `json:"views"`
	Failed map[string]string `json:"failed,omitempty"` // by the pooler's name, why
}

// QueryAll asks all that a view names.
func QueryAll(from State) ClusterState {
	e := ClusterState{Views: []State{from}, Failed: map[string]string{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for _, p := range from.Poolers {
		var says struct{ Management string }
		if p.Name == from.Name || p.State == "gone" || p.State == "left" {
			continue
		}
		if json.Unmarshal(p.Says, &says); says.Management == "" {
			e.Failed[p.Name] = "it does not tell where it is managed"
			continue
		}
		all.Go(func() {
			places <- struct{}{}
			s, err := Query(says.Management)
			<-places
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				e.Failed[p.Name] = err.Error()
				return
			}
			e.Views = append(e.Views, s)
		})
	}
	all.Wait()
	slices.SortFunc(e.Views, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	return e
}

// Agree tells whether all views that were got are the same.
func (e ClusterState) Agree() bool {
	for _, s := range e.Views {
		if s.Digest != e.Views[0].Digest {
			return false
		}
	}
	return len(e.Failed) == 0
}
