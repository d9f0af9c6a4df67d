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

// exitError ends the program with a status other than that of a wrong command line.
type exitError struct {
	status int
	cause  error // printed on standard error; nil if the command has printed all there is to say
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
	root.SetArgs(longFlags(arguments))
	root.SetOut(stdout)
	root.SetErr(stderr)
	command, err := root.ExecuteC()
	if err == nil {
		return statusGood
	}
	var exit exitError
	if !errors.As(err, &exit) {
		_, _ = fmt.Fprintf(stderr, "capercove: %v\nusage: %s\n", err, command.UseLine()) // the exit status shows it
		return statusUsage
	}
	if exit.cause != nil {
		_, _ = fmt.Fprintln(stderr, "capercove:", exit.cause) // the exit status shows it
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
		TraverseChildren: true, // flags belong to the command that they follow

		DisableFlagsInUseLine: true,
		Args:                  cobra.ArbitraryArgs,
		RunE:                  requireCommand,
	}
	root.AddCommand(newCheckCommand(), newFleetCommand(), newMaintenanceCommand(), newVersionCommand())
	return root
}

// requireCommand is the action of a command that only groups sub-commands, where none of them is named.
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

// newVersionCommand returns the command that prints the build.
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

// printLine prints a line of a command's result.
func printLine(command *cobra.Command, line string) error {
	if _, err := fmt.Fprintln(command.OutOrStdout(), line); err != nil {
		return exitError{statusFault, err}
	}
	return nil
}

// positional checks positional arguments: their names in order, the first of which are required. Its errors name the
// first argument that is missing or excess.
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

// longFlags lets flags of the fleet command be written with one dash as well as with two.
func longFlags(arguments []string) []string {
	if arguments[0] != fleetName {
		return arguments
	}
	long := append([]string{}, arguments...)
	for i, argument := range long[1:] {
		name, _, _ := strings.Cut(argument, "=")
		if name == "-"+flagAll || name == "-"+flagJSON {
			long[i+1] = "-" + argument
		}
	}
	return long
}
