package limits

// Machine is what the platform grants a pooler.
type Machine struct {
	// MemoryMB is the memory of the process, in MiB.
	MemoryMB int
	// Sockets is the number of file descriptors of the process.
	Sockets int
	// Shared means that a second process of the pooler runs, or may run, beside this one during an upgrade.
	Shared bool
	// Flight means that the Flight SQL frontend is on and needs a share of the descriptors.
	Flight bool
}
