package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"capercove/internal/lab"
)

// runOptions are the flags of the run command.
type runOptions struct {
	inModel bool
	outDir  string // empty: no report
	binary  string
	seed    uint64 // 0: the scenario's
}

// newRunCommand returns the command that runs a scenario once.
func newRunCommand() *cobra.Command {
	var options runOptions
	command := newScenarioCommand("run", "Play a scenario: fleet, poolers, load and faults",
		func(command *cobra.Command, path string) error { return runOnce(command, path, options) })
	command.Flags().BoolVar(&options.inModel, "model", false, "in virtual time, without sockets")
	command.Flags().StringVar(&options.outDir, "out", "", "folder for report.html, seconds.csv and summary.json")
	addBinaryFlag(command, &options.binary)
	command.Flags().Uint64Var(&options.seed, "seed", 0, "another seed than the scenario's")
	return command
}

// runOnce runs a scenario, prints the result and writes the report.
func runOnce(command *cobra.Command, path string, options runOptions) error {
	planned := scenarioRun{path: path, kind: kindOf(options.inModel), binary: options.binary, seed: options.seed}
	run, err := planned.execute(command)
	if err != nil {
		return err
	}
	if err := run.Print(command.OutOrStdout()); err != nil {
		return err
	}
	if options.outDir != "" {
		if err := writeReport(run, options.outDir); err != nil {
			return err
		}
		if err := printText(command, "report: "+filepath.Join(options.outDir, "report.html")+"\n"); err != nil {
			return err
		}
	}
	return verdict(run)
}

// verdict returns the error that sets the exit status of a run.
func verdict(run *lab.Run) error {
	switch {
	case run.Invalid != "":
		return exitError{statusVoid, errors.New("the run is void: " + run.Invalid)}
	case len(run.Unmet) > 0:
		return exitError{statusUnmet, fmt.Errorf("%d expectations are not met", len(run.Unmet))}
	}
	return nil
}

// writeReport writes the files of a report to a folder, which it creates.
func writeReport(run *lab.Run, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, file := range []struct {
		name  string
		write func(io.Writer) error
	}{
		{"report.html", run.HTML},
		{"seconds.csv", run.CSV},
		{"summary.json", run.JSON},
	} {
		if err := writeFile(filepath.Join(dir, file.name), file.write); err != nil {
			return fmt.Errorf("%s: %w", file.name, err)
		}
	}
	return nil
}

// writeFile creates a file and lets a function write it.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
