package config

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/BurntSushi/toml"
)

// File reads one of the project's own files under deploy/ into v. The variable, if set, names another file. One
// that does not exist leaves v as it is.
func File(variable, path string, v any) error {
	if other := os.Getenv(variable); other != "" {
		path = other
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s: %w", variable, err)
	}
	meta, err := toml.Decode(string(text), v)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	return nil
}

// Address checks the address under a key. An empty one is left to the caller.
func Address(key, addr string) error {
	if addr == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}
