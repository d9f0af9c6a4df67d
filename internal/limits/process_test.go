package limits_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/limits"
)

// The heap gets what the pages of files leave of the grant: no more than the share that the limits name, and no less
// than the garbage collector needs.
func TestSoftMemoryLeavesRoomForPagesOfFiles(t *testing.T) {
	const mebibyte = 1 << 20
	bounds := limits.Process{MemoryBytes: 32 * mebibyte, SoftMemoryBytes: 13 * mebibyte}
	for filePages, want := range map[uint64]int64{0: 13, 16: 13, 18: 11, 20: 9, 21: 8, 26: 8, 40: 8} {
		require.Equal(t, want*mebibyte, bounds.SoftMemory(filePages*mebibyte), "%d MiB of files", filePages)
	}
}

// What all clients' connections may send in one round of the event loop fits into the memory for their buffers.
func TestReadsOfAllConnectionsFitIntoBuffers(t *testing.T) {
	for _, megabytes := range []int{32, 48, 64, 128, 192} {
		bounds := limits.For(limits.Machine{MemoryMB: megabytes, Sockets: 1024}, limits.Timeouts{})
		read := bounds.EventLoop.ReadBytes
		require.Zero(t, read&(read-1), "%d MB: a power of two", megabytes)
		clients := bounds.Frontend
		require.LessOrEqual(t, read*clients.MaxConnections, clients.MaxBufferedBytes, "%d MB", megabytes)
	}
}
