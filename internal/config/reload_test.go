package config_test

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/config"
)

// completeFile has all keys of the platform's file.
const completeFile = "../contract/testdata/platform/complete.json"

// useFile writes a text into the file that GW_CONFIG names.
func useFile(t *testing.T, text []byte) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	t.Setenv("GW_CONFIG", path)
}

// readComplete returns the complete file.
func readComplete(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(completeFile)
	require.NoError(t, err)
	useFile(t, text)
	_, err = config.Load()
	require.NoError(t, err)
	return text
}

// keysOf returns the dotted paths of all keys of a JSON value, list elements by their index, sorted.
func keysOf(value any) (paths []string) {
	add := func(key string, nested any) {
		paths = append(paths, key)
		for _, path := range keysOf(nested) {
			paths = append(paths, key+"."+path)
		}
	}
	switch value := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(value)) {
			add(key, value[key])
		}
	case []any:
		for i, element := range value {
			add(strconv.Itoa(i), element)
		}
	}
	return paths
}

// without returns a JSON value that lacks the key at a path.
func without(value any, path []string) any {
	switch value := value.(type) {
	case map[string]any:
		changed := maps.Clone(value)
		if len(path) == 1 {
			delete(changed, path[0])
		} else {
			changed[path[0]] = without(value[path[0]], path[1:])
		}
		return changed
	case []any:
		index, _ := strconv.Atoi(path[0]) // of keysOf
		if len(path) == 1 {
			return slices.Delete(slices.Clone(value), index, index+1)
		}
		changed := slices.Clone(value)
		changed[index] = without(value[index], path[1:])
		return changed
	}
	return value
}

// Guards against a configuration that a start accepts and a reload rejects, as the file before had an optional key that
// it lacks: the old bounds and the old discovery stayed in force.
func TestReloadAndStartAgreeOnFileThatLacksKey(t *testing.T) {
	var complete any
	require.NoError(t, json.Unmarshal(readComplete(t), &complete))
	accepted, rejected := 0, 0
	for _, path := range keysOf(complete) {
		text, err := json.Marshal(without(complete, strings.Split(path, ".")))
		require.NoError(t, err)
		useFile(t, text)
		started, startErr := config.Load()
		reloaded, reloadErr := config.Reload()
		require.Equal(t, startErr, reloadErr, path)
		require.Equal(t, started, reloaded, path)
		if reloadErr == nil {
			accepted++
		} else {
			rejected++
		}
	}
	require.Positive(t, accepted)
	require.Positive(t, rejected)
}

// A file that is cut short is rejected, wherever the cut is, and never read with zeros in place of what is lost.
func TestReloadRejectsFileThatIsCutShort(t *testing.T) {
	complete := readComplete(t)
	whole, err := config.Load()
	require.NoError(t, err)
	end := len(strings.TrimRight(string(complete), "\n"))
	for cut := range len(complete) {
		useFile(t, complete[:cut])
		reloaded, err := config.Reload()
		if cut < end {
			require.Error(t, err, "cut at byte %d", cut)
			continue
		}
		require.NoError(t, err, "only the line's end is lost")
		require.Equal(t, whole, reloaded)
	}
}
