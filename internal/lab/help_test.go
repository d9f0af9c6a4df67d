package lab

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func mustDir() string {
	d, err := os.MkdirTemp("", "capercove-lab-test")
	if err != nil {
		panic(err)
	}
	return d
}

func writeFile(t *testing.T, path, text string) {
	require.NoError(t, os.WriteFile(path, []byte(text), 0o755))
}
