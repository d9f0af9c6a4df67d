package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"capercove/internal/lab"
)

// newTableCommand returns the command that sets real runs beside the model's.
func newTableCommand() *cobra.Command {
	var binary, outPath string
	command := &cobra.Command{
		Use:   "table SCENARIO...",
		Short: "Play scenarios for real and in the model, and write both side by side as a table",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return writeTable(command, arguments, binary, outPath)
		},
	}
	addBinaryFlag(command, &binary)
	command.Flags().StringVar(&outPath, "out", "", "file for the table; otherwise it is printed")
	return command
}

// writeTable runs scenarios and writes the table to a file, or prints it if the path is empty.
func writeTable(command *cobra.Command, paths []string, binary, outPath string) error {
	var pairs []lab.Pair
	for _, path := range paths {
		realRun, err := runForTable(command, path, lab.RealRun, binary)
		if err != nil {
			return err
		}
		modelRun, err := runForTable(command, path, lab.ModelRun, binary)
		if err != nil {
			return err
		}
		pairs = append(pairs, lab.Pair{Real: realRun, Model: modelRun})
	}
	text := lab.Table(pairs)
	if outPath == "" {
		return printText(command, text)
	}
	return os.WriteFile(outPath, []byte(text), 0o644)
}

// runForTable runs a scenario, which has to be valid for the table.
func runForTable(command *cobra.Command, path string, kind lab.Kind, binary string) (*lab.Run, error) {
	run, err := scenarioRun{path: path, kind: kind, binary: binary}.execute(command)
	if err != nil {
		return nil, err
	}
	if run.Invalid != "" {
		return nil, exitError{statusVoid, fmt.Errorf("%s: the run is void: %s", path, run.Invalid)}
	}
	return run, nil
}
