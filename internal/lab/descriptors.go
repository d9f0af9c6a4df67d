package lab

import (
	"fmt"
	"syscall"

	"capercove/internal/scenario"
)

const (
	baseDescriptors = 200 // listeners, logs and the like
	// maxPoolConnections is how many connections of a pooler to a database are reckoned with at most.
	maxPoolConnections = 300
)

// neededDescriptors estimates how many file descriptors the lab may need for a scenario.
func neededDescriptors(described *scenario.Scenario) uint64 {
	databases := 0
	for _, family := range described.Families {
		databases += family.Members
	}
	perDatabase := 1 + min(described.Server.Connections, maxPoolConnections) // the listener, too
	needed := uint64(baseDescriptors + databases*described.Poolers*perDatabase)
	for _, load := range described.Loads {
		needed += uint64(load.Rate) // each request may be open for a second
	}
	return needed
}

// raiseDescriptorLimit raises the process's limit of file descriptors to what a scenario may need. It returns an
// error if the hard limit is lower.
func raiseDescriptorLimit(described *scenario.Scenario) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	needed := neededDescriptors(described)
	if limit.Cur >= needed {
		return nil
	}
	limit.Cur = min(needed, limit.Max)
	err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	if limit.Cur < needed {
		return fmt.Errorf("the scenario may need %d descriptors, and the limit is %d: raise it (ulimit -n)"+
			" or lower server.connections", needed, limit.Max)
	}
	return err
}
