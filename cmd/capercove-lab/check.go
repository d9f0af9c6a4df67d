package main

import (
	"errors"

	"github.com/spf13/cobra"

	"capercove/internal/scenario"
)

// newCheckCommand returns the command that checks scenario files.
func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCENARIO...",
		Short: "Check scenario files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return checkFiles(command, arguments)
		},
	}
}

// checkFiles prints which scenario files are good, and returns the errors of all others.
func checkFiles(command *cobra.Command, paths []string) error {
	var all error
	for _, path := range paths {
		if _, err := scenario.LoadFile(path); err != nil {
			all = errors.Join(all, err)
			continue
		}
		if err := printText(command, path+" is good\n"); err != nil {
			return errors.Join(all, err)
		}
	}
	return all
}
