package testbed

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// ExclusionsFile is the name of the file with the exclusions of the pooler n0.
const ExclusionsFile = "capercove-bans-n0.json"

// ReadExclusions returns the exclusions that a directory's file has, in the form that all versions read, and none if
// there is no file.
func ReadExclusions(t *testing.T, directory string) (excluded map[string]int64) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(directory, ExclusionsFile))
	if os.IsNotExist(err) {
		return nil
	}
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &excluded))
	return excluded
}
