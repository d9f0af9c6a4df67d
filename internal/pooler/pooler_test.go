package pooler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Parts are ended in the reverse order of their start, each once.
func TestPartsEndInReverseOrderOfTheirStart(t *testing.T) {
	var p Pooler
	var ended []string
	for _, part := range []string{"traffic writer", "store", "membership", "maintenance"} {
		p.onEnd(func() { ended = append(ended, part) })
	}
	p.endParts()
	require.Equal(t, []string{"maintenance", "membership", "store", "traffic writer"}, ended)
}
