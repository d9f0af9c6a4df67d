package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"capercove/internal/config/tables"
)

// Member is one that keeps the record, or is about to.
type Member struct {
	Peer
	Votes bool `json:"votes"`
	Leads bool `json:"leads,omitempty"`
}

// memberKey is where the addresses of a member stand that was added later: the others' files do not name it.
func memberKey(name string) string { return "store/member/" + name }

// api is where a member is called; empty: nobody knows.
func (r *replicated) api(id raft.ServerID) string {
	if api := r.apis[id]; api != "" {
		return api
	}
	var p Peer
	if _, values := r.state.read([]string{memberKey(string(id))}); json.Unmarshal(values[memberKey(string(id))].Value, &p) != nil {
		return ""
	}
	return p.API
}

// members are those that this pooler knows of, by name.
func (r *replicated) members() (all []Member, err error) {
	f := r.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	_, leader := r.raft.LeaderWithID()
	for _, s := range f.Configuration().Servers {
		all = append(all, Member{Peer: Peer{Name: string(s.ID), Listen: string(s.Address), API: r.api(s.ID)}, Votes: s.Suffrage == raft.Voter, Leads: s.ID == leader})
	}
	slices.SortFunc(all, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all, nil
}

// add makes a pooler a member, at the leader. It votes once it holds what the others hold: until then it could only make a majority
// harder to find. One that does not get there is taken out again.
func (r *replicated) add(p Peer) error {
	if p.Name == "" {
		return errors.New("name: empty")
	}
	if err := errors.Join(tables.Address("listen", p.Listen), tables.Address("api", p.API)); err != nil {
		return err
	}
	r.membership.Lock() // one at a time
	defer r.membership.Unlock()
	all, err := r.members()
	if err != nil {
		return err
	}
	for _, m := range all {
		if m.Name == p.Name && m.Votes {
			return fmt.Errorf("%s is a member already", p.Name)
		}
	}
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := r.set(memberKey(p.Name), text); err != nil {
		return err
	}
	id, at := raft.ServerID(p.Name), raft.ServerAddress(p.Listen)
	if err := r.await(r.raft.AddNonvoter(id, at, 0, r.limits.StoreWait)); err != nil {
		return err
	}
	goal, until := r.state.revision(), time.Now().Add(r.limits.StoreCatchUp)
	for !r.holds(p.API, goal) {
		if time.Now().After(until) || !r.Leads() {
			return errors.Join(fmt.Errorf("%s does not get to what the others hold", p.Name), r.await(r.raft.RemoveServer(id, 0, r.limits.StoreWait)))
		}
		time.Sleep(r.limits.StoreCatchUp / 100)
	}
	return r.await(r.raft.AddVoter(id, at, 0, r.limits.StoreWait))
}

// holds tells whether the store at an address holds a revision.
func (r *replicated) holds(api string, revision uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.limits.StoreWait) // Against one that takes the call and says nothing.
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+api+"/v1/watch?name=none", nil)
	if err != nil {
		return false
	}
	answer, err := r.caller.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var c Changes
	return answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(&c) == nil && c.Revision >= revision
}

// remove takes a member out, at the leader; it need not be there any more. The last that votes stays.
func (r *replicated) remove(name string) error {
	r.membership.Lock()
	defer r.membership.Unlock()
	all, err := r.members()
	if err != nil {
		return err
	}
	voters, known := 0, false
	for _, m := range all {
		if m.Votes && m.Name != name {
			voters++
		}
		known = known || m.Name == name
	}
	switch {
	case !known:
		return fmt.Errorf("%s is no member", name)
	case voters == 0:
		return fmt.Errorf("%s is the last that votes", name)
	}
	if r.Leads() && name == r.name { // another does it: one that is no member any more cannot tell the end of it
		if err := r.HandOver(); err != nil {
			return err
		}
		return errors.New("it led, and has handed the lead over: once more")
	}
	return r.await(r.raft.RemoveServer(raft.ServerID(name), 0, r.limits.StoreWait))
}

// serveMembers answers calls about members, passing changes on to the leader.
func (r *replicated) serveMembers(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) {
		all, err := r.members()
		reply(w, all, err)
	})
	mux.HandleFunc("POST /v1/members", func(w http.ResponseWriter, q *http.Request) {
		var call struct {
			Add    *Peer  `json:"add,omitempty"`
			Remove string `json:"remove,omitempty"`
		}
		if !r.body(w, q, &call) {
			return
		}
		if (call.Add == nil) == (call.Remove == "") {
			http.Error(w, "not a call: one of add and remove", http.StatusBadRequest)
			return
		}
		var err error
		switch {
		case !r.Leads():
			var text []byte
			if text, err = json.Marshal(call); err == nil {
				err = r.leader(q.Header.Get(forwarded) == "", "/v1/members", text, new([]Member))
			}
		case call.Add != nil:
			err = r.add(*call.Add)
		default:
			err = r.remove(call.Remove)
		}
		if err != nil {
			reply(w, nil, err)
			return
		}
		all, err := r.members()
		reply(w, all, err)
	})
}
