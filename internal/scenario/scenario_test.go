package scenario_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/scenario"
)

// Faults between poolers name one, two, or one way; they are turned down, with file, line and key, where the poolers do not talk or
// the target is none.
func TestLinks(t *testing.T) {
	w := scenario.Scenario{Poolers: 3}
	require.Equal(t, [][2]string{{"pooler-0", "pooler-2"}, {"pooler-2", "pooler-0"}}, w.Links("pooler-0 pooler-2"))
	require.Equal(t, [][2]string{{"pooler-0", "pooler-2"}}, w.Links("pooler-0 > pooler-2"))
	require.Equal(t, [][2]string{{"pooler-1", "pooler-0"}, {"pooler-0", "pooler-1"}, {"pooler-1", "pooler-2"}, {"pooler-2", "pooler-1"}},
		w.Links("pooler-1"))
	for _, odd := range []string{"", "pooler-3", "pooler-0 pooler-0", "pooler-0 >", "> pooler-0", "pooler-0 pooler-9", "g1-0"} {
		require.Nil(t, w.Links(odd), odd)
	}
	path := filepath.Join(t.TempDir(), "odd.toml")
	load := func(text string) error {
		require.NoError(t, os.WriteFile(path, []byte("poolers = 2\n"+text+"\n[[families]]\ngroup = 1\nmembers = 2\n"), 0o600))
		_, err := scenario.LoadFile(path)
		return err
	}
	const talk = "[fleet]\nenabled = true\n"
	require.NoError(t, load(talk+"[[faults]]\nkind = \"part\"\ntarget = \"pooler-0\""))
	require.ErrorContains(t, load("[[faults]]\nkind = \"part\"\ntarget = \"pooler-0\""), "odd.toml:3: faults[0].kind")
	require.ErrorContains(t, load(talk+"[[faults]]\nkind = \"part\"\ntarget = \"pooler-2\""), "odd.toml:6: faults[0].target")
	require.ErrorContains(t, load(talk+"[[faults]]\nkind = \"loss\"\ntarget = \"pooler-1\"\nfactor = 2.0"), "odd.toml:7: faults[0].factor")
}
