package store

import (
	"github.com/rs/zerolog"

	"capercove/internal/limits"
)

// Open starts the store of the pooler of this name: alone and in memory, or with peers and on disk.
func Open(cfg Config, name string, l limits.Limits, log zerolog.Logger) (Store, error) {
	if err := cfg.lists(name); err != nil {
		return nil, err
	}
	r := newReplicated(cfg, name, l, log)
	return r, r.begin()
}
