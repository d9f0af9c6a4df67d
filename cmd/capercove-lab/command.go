package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"capercove/internal/lab"
	"capercove/internal/scenario"
)

// loopbackHost is where databases, discovery and poolers listen.
const loopbackHost = "127.0.0.1"

// exitError ends the program with a status other than statusFault.
type exitError struct {
	status int
	cause  error
}

func (e exitError) Error() string { return e.cause.Error() }

func (e exitError) Unwrap() error { return e.cause }

// execute runs the command that the command line names and returns the exit status. It writes an error to stderr.
func execute(ctx context.Context, root *cobra.Command, stderr io.Writer) (status int) {
	err := root.ExecuteContext(ctx)
	if err == nil {
		return statusGood
	}
	_, _ = fmt.Fprintln(stderr, "capercove-lab:", err) // the status tells it, too
	var exit exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return statusFault
}

// newRootCommand returns the program's command line.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "capercove-lab",
		Short:         "An emulated fleet, load and experiments for capercove",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitError{statusUsage, err} })
	root.AddCommand(newRunCommand(), newFleetCommand(), newCompareCommand(), newCheckCommand(), newTableCommand())
	return root
}

// newScenarioCommand returns a command whose one argument is the path of a scenario file.
func newScenarioCommand(name, short string, run func(command *cobra.Command, path string) error) *cobra.Command {
	usage := name + " SCENARIO"
	return &cobra.Command{
		Use:   usage,
		Short: short,
		Args:  oneArgument(usage),
		RunE: func(command *cobra.Command, arguments []string) error {
			return run(command, arguments[0])
		},
	}
}

// oneArgument checks that there is one positional argument. Its error begins with the usage.
func oneArgument(usage string) cobra.PositionalArgs {
	return func(_ *cobra.Command, arguments []string) error {
		if len(arguments) != 1 {
			return exitError{statusUsage, fmt.Errorf("%s: %d arguments, want 1", usage, len(arguments))}
		}
		return nil
	}
}

// printText prints a command's result.
func printText(command *cobra.Command, text string) error {
	_, err := io.WriteString(command.OutOrStdout(), text)
	return err
}

// addBinaryFlag adds the flag that names the pooler's program.
func addBinaryFlag(command *cobra.Command, binary *string) {
	command.Flags().StringVar(binary, "binary", defaultBinary(), "the pooler")
}

// defaultBinary returns the path of the pooler's program, which is in the same folder as this one.
func defaultBinary() string {
	const name = "capercove"
	self, err := os.Executable()
	if err != nil {
		return name // to be found in PATH
	}
	return filepath.Join(filepath.Dir(self), name)
}

// scenarioRun says how a scenario file is to be run.
type scenarioRun struct {
	path   string
	kind   lab.Kind
	binary string // program of the pooler, for a real run
	seed   uint64 // 0: the scenario's
}

// execute loads the scenario and runs it in the model or with real poolers. A real run shows its progress on standard
// error.
func (planned scenarioRun) execute(command *cobra.Command) (*lab.Run, error) {
	described, err := scenario.LoadFile(planned.path)
	if err != nil {
		return nil, err
	}
	if planned.seed > 0 {
		described.Seed = planned.seed
	}
	if planned.kind == lab.ModelRun {
		return lab.Model(described)
	}
	dir, err := os.MkdirTemp("", "capercove-lab")
	if err != nil {
		return nil, err
	}
	return lab.Real(command.Context(), described, lab.Options{
		Binary:   planned.binary,
		Dir:      dir,
		Host:     loopbackHost,
		Progress: newProgress(command.ErrOrStderr(), described).print,
	})
}

// kindOf returns the kind of run that flag --model chooses.
func kindOf(inModel bool) lab.Kind {
	if inModel {
		return lab.ModelRun
	}
	return lab.RealRun
}
