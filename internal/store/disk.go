package store

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// patient is where raft keeps its term and its vote. Against a full disk: raft ends the whole process when its term cannot be kept,
// and a pooler has to go on serving without the record. This waits until there is room instead; meanwhile this member
// neither leads nor votes, as one that has stopped. What raft does with a log that takes no entry is sound: it steps down.
type patient struct {
	raft.StableStore
	log   zerolog.Logger
	again time.Duration // a write that failed is tried again so much later
	stuck atomic.Bool   // a write waits
}

func (p *patient) Set(key, value []byte) error {
	return p.try(func() error { return p.StableStore.Set(key, value) })
}

func (p *patient) SetUint64(key []byte, value uint64) error {
	return p.try(func() error { return p.StableStore.SetUint64(key, value) })
}

func (p *patient) try(write func() error) error {
	err := write()
	for ; err != nil; err = write() {
		if !p.stuck.Swap(true) {
			p.log.Error().Err(err).Msg("store: takes no part until it can write")
		}
		time.Sleep(p.again)
	}
	if p.stuck.Swap(false) {
		p.log.Info().Msg("store: it can write again")
	}
	return nil
}
