package limits

import (
	"math/bits"
	"time"
)

// reservedDescriptors are left for what is no connection of the tables below: standard streams, listeners, files,
// operators, discovery, accepts, and dials, which hold two descriptors for a moment.
const reservedDescriptors = 48

// minDescriptors are divided even where fewer are granted.
const minDescriptors = 64

// Parts of the descriptors that are divided.
const (
	// flightDivisor gives each side of Flight SQL a twentieth, as a connection may carry many calls.
	flightDivisor = 20
	// clientTenths and serverTenths divide the rest: databases are shared by many clients.
	clientTenths, serverTenths, tenths = 7, 3, 10
)

// Parts of clients' connections and of all descriptors.
const (
	// startingDivisor is a guard.
	startingDivisor = 2
	// minIdleDivisor is a guard.
	minIdleDivisor = 8
	// highWaterDivisor is under the third of the descriptors that clients use at most. It was measured with twelve
	// poolers.
	highWaterDivisor = 4
	// pendingDivisor is half of the third of the descriptors that clients use at most, each with one request.
	pendingDivisor = 6
)

// Parts of the memory.
const (
	// heapTenths is the part of the grant that the garbage collector aims at. The rest is for stacks, code and the
	// kernel.
	heapTenths = 6
	// sharedNumerator and sharedDivisor are the part of that for each of two processes of a pooler.
	sharedNumerator, sharedDivisor = 3, 4
	// programBytes is resident beside what the garbage collector sees: the pages of the program's file.
	programBytes = 19 << 20
	// unseenBytes is resident beside that: the program's variables, and stacks and heap of C.
	unseenBytes = 3 << 20
	// minSoftBytes is the least soft limit. Below it the collector would run all the time.
	minSoftBytes = 8 << 20
	// clientBuffersDivisor is the part of the soft limit that clients' buffers may take. Statements among them are held
	// a second time while a database reads them slowly.
	clientBuffersDivisor = 4
	// connectionsDivisor is the part of the soft limit that clients' connections may take beside their buffers, and the
	// part that answers may take which databases are still sending.
	connectionsDivisor = 4
	// connectionBytes is what a client's connection takes beside its buffers.
	connectionBytes = 8 << 10
	// answerBytes is a third of the longest answer that is buffered: few databases send one at the same time.
	answerBytes = 24 << 10
	// streamChunks is how many chunks of streamed answers fit into the soft limit.
	streamChunks = 1024
	// minConnections may be open on each side even where the memory is less.
	minConnections = 16
	// flightBuffersDivisor is the part of the soft limit that holds one message of each call of Flight SQL.
	flightBuffersDivisor = 4
	// flightMessagesDivisor is the part of the soft limit that one message of each of the fewest calls may take.
	flightMessagesDivisor = 3
	// flightRequestsDivisor is the part of the soft limit for requests of Flight SQL that are still arriving.
	flightRequestsDivisor = 8
	// callShareNumerator and callShareDivisor are the part of the calls that one connection may have.
	callShareNumerator, callShareDivisor = 3, 4
	// minFlightCalls run at once even where the memory is less.
	minFlightCalls = 8
)

// shares divides what the platform grants.
type shares struct {
	// descriptors is the whole grant of descriptors.
	descriptors int
	// clients and servers are connections of the PostgreSQL frontend and backend.
	clients, servers int
	// flight is the number of connections of each side of Flight SQL.
	flight int
	// grantBytes is the whole grant of memory.
	grantBytes int64
	// memoryBytes is the part of the memory that is divided.
	memoryBytes int64
	// heapBytes is the largest soft limit of the memory. It is more than memoryBytes where the grant is small: what the
	// program's file does not take is left to the garbage collector, which runs all the time otherwise.
	heapBytes int64
}

// sharesOf divides a machine's grant. What two processes of a pooler have open together is settled by package fdshare.
func sharesOf(machine Machine) shares {
	divided := max(minDescriptors, machine.Sockets-reservedDescriptors-maxRejecting)
	flight := divided / flightDivisor
	if machine.Flight {
		divided -= 2 * flight
	}
	grant := int64(machine.MemoryMB) << 20
	memory, heap := softLimit(grant), max(grant*heapTenths/tenths, minSoftBytes)
	if machine.Shared { // or else both together hold more than the grant
		memory = memory * sharedNumerator / sharedDivisor
		heap = memory
	}
	return shares{
		descriptors: machine.Sockets,
		clients:     min(divided*clientTenths/tenths, connectionsWithin(memory, connectionBytes)),
		servers:     min(divided*serverTenths/tenths, connectionsWithin(memory, answerBytes)),
		flight:      flight,
		grantBytes:  grant,
		memoryBytes: memory,
		heapBytes:   heap,
	}
}

// softLimit returns the soft limit of the memory for a grant, in bytes.
func softLimit(grant int64) int64 {
	return max(min(grant*heapTenths/tenths, grant-programBytes), minSoftBytes)
}

// connectionsWithin returns how many connections may be open if each takes so many bytes.
func connectionsWithin(memory, bytes int64) int {
	return max(minConnections, int(memory/connectionsDivisor/bytes))
}

// readBytes returns how many bytes of a connection are read at once, a power of two: all connections together may have
// sent so much in one round of the event loop, which is at most what clients' buffers may take.
func (s shares) readBytes() int {
	share := int(s.memoryBytes/clientBuffersDivisor) / s.clients
	powerOfTwo := 1 << (bits.Len(uint(share)) - 1)
	return min(readBytes, powerOfTwo)
}

// streamChunk returns the length of the chunks in which a value is streamed.
func (s shares) streamChunk() int {
	return min(streamChunkBytes, int(s.memoryBytes/streamChunks))
}

// flightCalls returns how many calls may run at once. As each may buffer two messages, these take up to twice the part
// of the memory that flightBuffersDivisor gives.
func (s shares) flightCalls() int {
	return max(minFlightCalls, int(s.memoryBytes/flightBuffersDivisor/maxFlightMessageBytes))
}

// flightRequests returns how many requests may be arriving at once.
func (s shares) flightRequests() int {
	return max(minFlightCalls, int(s.memoryBytes/flightRequestsDivisor/maxFlightRequestBytes))
}

// flightMessage returns the length of a message of a stream.
func (s shares) flightMessage() int {
	return min(maxFlightMessageBytes, int(s.memoryBytes/flightMessagesDivisor/minFlightCalls))
}

// backendIdleTimeout is under the time after which databases close idle connections, so that the pool closes them
// first.
func backendIdleTimeout(keepalive time.Duration) time.Duration { return keepalive * 3 / 4 }

// shutdown returns the times of the shutdown: the process may be killed soon after the longest deadline of a class.
func shutdown(longest time.Duration) Shutdown {
	timeout := min(longest, longestDrain) + shutdownGrace
	return Shutdown{
		DrainDelay:   max(minDrainDelay, timeout-drainTime),
		Timeout:      timeout,
		AnswerMargin: answerMargin,
		TimerTick:    timerTick,
	}
}
