package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"capercove/internal/config"
	"capercove/internal/config/tables"
)

// command runs a sub-command, if there is one: with no argument the program serves. It returns the exit status.
func command(args []string, out io.Writer) (status int, ran bool) {
	if len(args) == 0 {
		return 0, false
	}
	switch {
	case args[0] == "version" && len(args) == 1:
		version, revision, changed := "devel", "unknown", ""
		if b, ok := debug.ReadBuildInfo(); ok {
			version = b.Main.Version
			for _, s := range b.Settings {
				switch {
				case s.Key == "vcs.revision":
					revision = s.Value
				case s.Key == "vcs.modified" && s.Value == "true":
					changed = ", changed since"
				}
			}
			version += " " + b.GoVersion
		}
		fmt.Fprintf(out, "capercove %s, revision %s%s\n", version, revision, changed)
		return 0, true
	case args[0] == "check" && len(args) <= 2:
		if len(args) == 2 {
			os.Setenv(tables.Variable, args[1])
		}
		if err := check(); err != nil {
			fmt.Fprintln(out, err)
			return 1, true
		}
		fmt.Fprintln(out, "good")
		return 0, true
	}
	fmt.Fprintln(out, "usage: capercove                 serve, as GW_CONFIG and the operators' file say\n"+
		"       capercove check [FILE]    check the operators' file, and the platform's if GW_CONFIG is set\n"+
		"       capercove version")
	return 2, true
}

// check reads the files as a start does, and begins nothing.
func check() error {
	own := defaults()
	if err := tables.Load(&own); err != nil {
		return err
	}
	if os.Getenv("GW_CONFIG") == "" {
		return nil
	}
	_, err := config.Load()
	return err
}
