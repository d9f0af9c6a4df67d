package contract_test

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// names are the paths of all fields of a JSON value, sorted. An element of a list stands as [].
func names(value any) []string {
	all := map[string]bool{}
	collect(value, "", all)
	return slices.Sorted(maps.Keys(all))
}

func collect(value any, path string, all map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for key, below := range value {
			all[path+"."+key] = true
			collect(below, path+"."+key, all)
		}
	case []any:
		for _, element := range value {
			collect(element, path+"[]", all)
		}
	}
}

// namesOf are the names in a JSON text, none where it is no JSON.
func namesOf(text string) []string {
	var value any
	if json.Unmarshal([]byte(text), &value) != nil {
		return nil
	}
	return names(value)
}

// goldenNames waits until all names of a golden file are there. More may be there: names are added, but neither changed
// nor taken away. Where the file is written anew, the names are those of the first look that is complete.
func goldenNames(t *testing.T, file string, complete func(found []string) bool, look func() []string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if updating {
		var found []string
		eventually(t, func() bool { found = look(); return complete(found) }, file+" is complete")
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(found, "\n")+"\n"), 0o644))
		return
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	want := strings.Fields(string(text))
	require.NotEmpty(t, want)
	var lacks []string
	eventually(t, func() bool {
		found := look()
		lacks = slices.DeleteFunc(slices.Clone(want), func(name string) bool { return slices.Contains(found, name) })
		return len(lacks) == 0
	}, path+" names what is there; in vain it lists:\n"+strings.Join(want, "\n"))
}

// having tells whether all these names are there.
func having(wanted ...string) func(found []string) bool {
	return func(found []string) bool {
		return !slices.ContainsFunc(wanted, func(name string) bool { return !slices.Contains(found, name) })
	}
}
