package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"capercove/internal/config/tables"
	"capercove/internal/pooler"
)

// exitError is an error with an exit status. Errors of other types are usage errors, with status 2.
type exitError struct {
	status int
	cause  error // printed on standard error; nil if the command has printed its result already
}

func (e exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("status %d", e.status)
	}
	return e.cause.Error()
}

func (e exitError) Unwrap() error { return e.cause }

// runCommand runs a sub-command and returns the exit status. Results and help go to stdout, errors to stderr.
func runCommand(arguments []string, stdout, stderr io.Writer) (status int) {
	root := newRootCommand()
	root.SetArgs(normalizeFlags(arguments))
	root.SetOut(stdout)
	root.SetErr(stderr)
	command, err := root.ExecuteC()
	if err == nil {
		return statusGood
	}
	// Errors of writing to stderr are ignored below, because the exit status also reports the failure.
	var exit exitError
	if !errors.As(err, &exit) {
		_, _ = fmt.Fprintf(stderr, "capercove: %v\nusage: %s\n", err, command.UseLine())
		return statusUsage
	}
	if exit.cause != nil {
		_, _ = fmt.Fprintln(stderr, "capercove:", exit.cause)
	}
	return exit.status
}

// newRootCommand returns the program's command line.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "capercove COMMAND",
		Short: "A pooler for PostgreSQL and Flight SQL",
		Long: "A pooler for PostgreSQL and Flight SQL.\n\n" +
			"With no argument it serves, as the file that GW_CONFIG names and the operators' file say.",
		SilenceUsage:     true,
		SilenceErrors:    true,
		TraverseChildren: true, // each command parses the flags that directly follow its name

		DisableFlagsInUseLine: true,
		Args:                  cobra.ArbitraryArgs,
		RunE:                  requireCommand,
	}
	root.AddCommand(newCheckCommand(), newFleetCommand(), newMaintenanceCommand(), newVersionCommand())
	return root
}

// requireCommand returns a usage error for a group of commands that is called without a known sub-command.
func requireCommand(command *cobra.Command, arguments []string) error {
	if len(arguments) == 0 {
		return errors.New("COMMAND is missing")
	}
	return fmt.Errorf("unknown command %q for %q", arguments[0], command.CommandPath())
}

// newCheckCommand returns the command that checks the configuration.
func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check the operators' file, and the platform's if GW_CONFIG is set",
		Long: "Check the operators' file, and the platform's if GW_CONFIG is set.\n\n" +
			"FILE is the operators' file; without it the one is checked that a start would read.\n" +
			"It prints \"good\" and ends with status 0, or prints the first fault and ends with status 1.",
		DisableFlagsInUseLine: true,
		Args:                  positional(0, "FILE"),
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) > 0 {
				if err := os.Setenv(tables.PathVariable, arguments[0]); err != nil {
					return exitError{statusFault, err}
				}
			}
			result := "good"
			fault := pooler.CheckConfiguration()
			if fault != nil {
				result = fault.Error()
			}
			if err := printLine(command, result); err != nil {
				return err
			}
			if fault != nil {
				return exitError{status: statusFault}
			}
			return nil
		},
	}
}

// newVersionCommand returns the command that prints the version and revision of the build.
func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:                   "version",
		Short:                 "Print which build this is",
		DisableFlagsInUseLine: true,
		Args:                  positional(0),
		RunE: func(command *cobra.Command, _ []string) error {
			version, revision, changed := pooler.Build()
			return printLine(command, fmt.Sprintf("capercove %s, revision %s%s", version, revision, changed))
		},
	}
}

// printLine prints a line on the command's standard output. A failed write ends the program with status 1.
func printLine(command *cobra.Command, line string) error {
	if _, err := fmt.Fprintln(command.OutOrStdout(), line); err != nil {
		return exitError{statusFault, err}
	}
	return nil
}

// positional returns a check of positional arguments. The names are in order, and the first of them, up to the number
// required, are mandatory. The error names the first missing or excess argument.
func positional(required int, names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, arguments []string) error {
		switch {
		case len(arguments) < required:
			return fmt.Errorf("%s is missing", names[len(arguments)])
		case len(arguments) > len(names):
			return fmt.Errorf("unexpected argument %q", arguments[len(names)])
		}
		return nil
	}
}

// normalizeFlags returns the arguments with the fleet command's flags in their form with two dashes. The fleet command
// also accepts one dash. There must be at least one argument.
func normalizeFlags(arguments []string) []string {
	if arguments[0] != fleetName {
		return arguments
	}
	normalized := append([]string{}, arguments...)
	for i, argument := range normalized[1:] {
		name, _, _ := strings.Cut(argument, "=")
		if name == "-"+flagAll || name == "-"+flagJSON {
			normalized[i+1] = "-" + argument
		}
	}
	return normalized
}
