package testbed

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	programName    = "capercove"
	programPackage = "capercove/cmd/capercove"
)

// buildShipped builds the shipped program once for this test process and returns its path.
var buildShipped = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", programName)
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, programName)
	return program, build(program)
})

// build builds the program, with further flags of go build.
func build(program string, flags ...string) error {
	args := slices.Concat([]string{"build", "-o", program}, buildFlags, flags, []string{programPackage})
	printed, err := exec.CommandContext(context.Background(), "go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, printed)
	}
	return nil
}

// Binary returns the path of the shipped program, which is built once for this test process.
func Binary(t *testing.T) string {
	t.Helper()
	program, err := buildShipped()
	require.NoError(t, err)
	return program
}

// Edit replaces a text, which occurs once, in a source file. The file is named relative to the module's root.
type Edit struct{ File, Old, New string }

// overlay is the file of go build's flag -overlay.
type overlay struct {
	Replace map[string]string // paths of source files to those that are built instead
}

// Variant builds the program from edited source, for example with a planted fault, and returns its path. The source
// tree is not changed.
func Variant(t *testing.T, edits ...Edit) string {
	t.Helper()
	list := exec.CommandContext(context.Background(), "go", "list", "-m", "-f", "{{.Dir}}")
	printed, err := list.Output()
	require.NoError(t, err)
	root := strings.TrimSpace(string(printed))
	dir, replaced := t.TempDir(), map[string]string{}
	for i, edit := range edits {
		path := filepath.Join(root, edit.File)
		text, err := os.ReadFile(cmp.Or(replaced[path], path))
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(text), edit.Old), "%s has %q once", edit.File, edit.Old)
		replaced[path] = filepath.Join(dir, fmt.Sprint(i, ".go"))
		edited := strings.Replace(string(text), edit.Old, edit.New, 1)
		require.NoError(t, os.WriteFile(replaced[path], []byte(edited), privateFile))
	}
	text, err := json.Marshal(overlay{Replace: replaced})
	require.NoError(t, err)
	overlayPath := filepath.Join(dir, "overlay.json")
	require.NoError(t, os.WriteFile(overlayPath, text, privateFile))
	program := filepath.Join(dir, programName)
	require.NoError(t, build(program, "-overlay", overlayPath))
	return program
}
