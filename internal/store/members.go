package store

import (
	"cmp"
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

// Member is a member of the raft cluster.
type Member struct {
	Peer
	// Voter reports whether the member is a voter. A new member becomes a voter when it has caught up.
	Voter bool `json:"votes"`
	// Leads reports whether the member is the leader, as far as the answering pooler knows.
	Leads bool `json:"leads,omitempty"`
}

// memberKey returns the key under which the addresses of a member are stored that was added to a running cluster. The
// configuration files of the other members lack these addresses.
func memberKey(name string) string { return "store/member/" + name }

// apiAddress returns the address of a member's HTTP API, empty if it is not known.
func (r *replicated) apiAddress(id raft.ServerID) string {
	if api := r.apis[id]; api != "" {
		return api
	}
	key := memberKey(string(id))
	_, values := r.state.read([]string{key})
	var peer Peer
	if json.Unmarshal(values[key].Value, &peer) != nil {
		return ""
	}
	return peer.API
}

// listMembers returns the members that this pooler knows of, sorted by name.
func (r *replicated) listMembers() (all []Member, err error) {
	future := r.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	_, leader := r.raft.LeaderWithID()
	for _, server := range future.Configuration().Servers {
		all = append(all, Member{
			Peer:  Peer{Name: string(server.ID), Listen: string(server.Address), API: r.apiAddress(server.ID)},
			Voter: server.Suffrage == raft.Voter,
			Leads: server.ID == leader,
		})
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all, nil
}

// addMember adds a member; this pooler must be the leader. The new member becomes a voter only when it has caught up
// with the others: a voter that lags enlarges the required majority, but cannot contribute to it. A member that does
// not catch up in time is removed again.
func (r *replicated) addMember(ctx context.Context, peer Peer) error {
	if peer.Name == "" {
		return errors.New("name: empty")
	}
	if err := errors.Join(
		tables.CheckAddress("listen", peer.Listen), tables.CheckAddress("api", peer.API),
	); err != nil {
		return err
	}
	r.memberChanges.Lock()
	defer r.memberChanges.Unlock()
	all, err := r.listMembers()
	if err != nil {
		return err
	}
	for _, member := range all {
		if member.Name == peer.Name && member.Voter {
			return fmt.Errorf("%s is a member already", peer.Name)
		}
	}
	text, err := json.Marshal(peer)
	if err != nil {
		return err
	}
	if err := r.set(ctx, memberKey(peer.Name), text); err != nil {
		return err
	}
	id, address := raft.ServerID(peer.Name), raft.ServerAddress(peer.Listen)
	if err := r.awaitRaft(r.raft.AddNonvoter(id, address, 0, r.limits.CallTimeout)); err != nil {
		return err
	}
	if !r.waitUntilCaughtUp(ctx, peer) {
		return errors.Join(fmt.Errorf("%s does not catch up with the others", peer.Name),
			r.awaitRaft(r.raft.RemoveServer(id, 0, r.limits.CallTimeout)))
	}
	return r.awaitRaft(r.raft.AddVoter(id, address, 0, r.limits.CallTimeout))
}

// catchUpPolls is the number of times that a new member is polled within the CatchUpTimeout.
const catchUpPolls = 100

// waitUntilCaughtUp waits until a new member has reached the revision that the record has at the call. It returns false
// if the CatchUpTimeout has passed or this pooler is no longer the leader.
func (r *replicated) waitUntilCaughtUp(ctx context.Context, peer Peer) bool {
	revision, deadline := r.state.revision(), time.Now().Add(r.limits.CatchUpTimeout)
	for !r.hasRevision(ctx, peer.API, revision) {
		if time.Now().After(deadline) || !r.IsLeader() {
			return false
		}
		time.Sleep(r.limits.CatchUpTimeout / catchUpPolls)
	}
	return true
}

// hasRevision reports whether the store with this HTTP API address has reached a revision. It waits up to the
// CallTimeout for the answer.
func (r *replicated) hasRevision(ctx context.Context, api string, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, r.limits.CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+api+watchPath+"?name=none", nil)
	if err != nil {
		return false
	}
	response, err := r.peerClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // only read: no data can be lost
	if response.StatusCode != http.StatusOK {
		return false
	}
	var changes Changes
	err = json.NewDecoder(response.Body).Decode(&changes)
	return err == nil && changes.Revision >= revision
}

// removeMember removes a member; this pooler must be the leader. The member need not be running. The last voter cannot
// be removed.
func (r *replicated) removeMember(name string) error {
	r.memberChanges.Lock()
	defer r.memberChanges.Unlock()
	all, err := r.listMembers()
	if err != nil {
		return err
	}
	voters, known := 0, false
	for _, member := range all {
		if member.Voter && member.Name != name {
			voters++
		}
		known = known || member.Name == name
	}
	switch {
	case !known:
		return fmt.Errorf("%s is no member", name)
	case voters == 0:
		return fmt.Errorf("%s is the last that votes", name)
	}
	// Another leader has to remove this pooler: a removed member would not learn of the result.
	if r.IsLeader() && name == r.name {
		if err := r.TransferLeadership(); err != nil {
			return err
		}
		return errors.New("it led, and has handed the lead over: once more")
	}
	return r.awaitRaft(r.raft.RemoveServer(raft.ServerID(name), 0, r.limits.CallTimeout))
}

// getMembers answers with the members that this pooler knows of.
func (r *replicated) getMembers(w http.ResponseWriter, _ *http.Request) {
	all, err := r.listMembers()
	writeReply(w, all, err)
}

// membersCall is the body of a call that changes the members. Exactly one of its fields is set.
type membersCall struct {
	Add    *Peer  `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// postMembers adds or removes a member and answers with the members. It forwards the call if another member leads.
func (r *replicated) postMembers(w http.ResponseWriter, request *http.Request) {
	var call membersCall
	if !r.readBody(w, request, &call) {
		return
	}
	if (call.Add == nil) == (call.Remove == "") {
		http.Error(w, "not a call: one of add and remove", http.StatusBadRequest)
		return
	}
	if err := r.changeMembers(context.WithoutCancel(request.Context()), call, mayForward(request)); err != nil {
		writeReply(w, nil, err)
		return
	}
	all, err := r.listMembers()
	writeReply(w, all, err)
}

// changeMembers executes a call that changes the members, or forwards it to the leader if mayForward.
func (r *replicated) changeMembers(ctx context.Context, call membersCall, mayForward bool) error {
	switch {
	case !r.IsLeader():
		text, err := json.Marshal(call)
		if err != nil {
			return err
		}
		return r.callLeader(ctx, mayForward, membersPath, text, new([]Member))
	case call.Add != nil:
		return r.addMember(ctx, *call.Add)
	default:
		return r.removeMember(call.Remove)
	}
}
