package store

import (
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
}

func (p *patient) Set(key, value []byte) error {
	return p.try(func() error { return p.StableStore.Set(key, value) })
}

func (p *patient) SetUint64(key []byte, value uint64) error {
	return p.try(func() error { return p.StableStore.SetUint64(key, value) })
}

func (p *patient) try(write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	p.log.Error().Err(err).Msg("store: takes no part until it can write")
	for ; err != nil; err = write() {
		time.Sleep(p.again)
	}
	p.log.Info().Msg("store: it can write again")
	return nil
}
