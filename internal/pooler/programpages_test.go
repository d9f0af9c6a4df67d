package pooler

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// smapsReport has a mapping of each kind. Of the program's two read-only ones, the dynamic linker has modified one.
const smapsReport = `00010000-00aee000 r-xp 00000000 fe:00 9940053                            /srv/capercove
Rss:                8184 kB
Anonymous:             0 kB
00aee000-00af0000 r--p 00ae0000 fe:00 9940053                            /srv/capercove
Rss:                   8 kB
Anonymous:             8 kB
00af0000-0192a000 r--p 00ae0000 fe:00 9940053                            /srv/capercove
Rss:               10216 kB
Anonymous:             0 kB
01930000-019b8000 rw-p 01920000 fe:00 9940053                            /srv/capercove
Anonymous:             0 kB
34619040-34619100 r--p 00000000 00:00 0
Anonymous:             0 kB
ffff8e53-ffff8e55 r-xp 00000000 00:00 0                                  [vdso]
Anonymous:             0 kB
ffff8e56-ffff8e57 r--s 00000000 fe:00 97388                              /srv/shared
Anonymous:             0 kB
`

// Only what the kernel can read from the file again is released: contents that differ from it would be lost, and the
// process would end in a fault.
func TestOnlyUnmodifiedPagesOfFilesAreReleased(t *testing.T) {
	mappings, err := unmodifiedFileMappings(strings.NewReader(smapsReport))
	require.NoError(t, err)
	require.Equal(t, []mapping{{0x10000, 0xaee000}, {0xaf0000, 0x192a000}}, mappings)
}

// The pages of this process's own program are released, and it runs on.
func TestProgramRunsOnWithoutItsPages(t *testing.T) {
	before := readResident()
	for range 100 {
		require.NoError(t, releaseProgramPages())
	}
	require.Less(t, readResident().file, before.file)
}
