package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"capercove/internal/lab"
)

// newCompareCommand returns the command that compares two poolers or two scenarios.
func newCompareCommand() *cobra.Command {
	var inModel bool
	var limits lab.CompareLimits
	command := &cobra.Command{
		Use:   "compare A B SCENARIO",
		Short: "Compare two poolers, or two scenario files A and B, by paired runs",
		Long: "Plays the scenario with both, paired by seed," +
			" until the interval of the difference is as narrow as asked or the budget is spent.\n" +
			"Without SCENARIO, A and B are scenario files that differ in what is to be compared;" +
			" with --model, they are played in the model.",
		Args: cobra.RangeArgs(2, 3),
		RunE: func(command *cobra.Command, arguments []string) error {
			return compare(command, arguments, kindOf(inModel), limits)
		},
	}
	command.Flags().BoolVar(&inModel, "model", false, "compare two scenario files in the model")
	command.Flags().IntVar(&limits.MaxPairs, "runs", 30, "pairs at the most")
	command.Flags().DurationVar(&limits.Budget, "budget", 10*time.Minute, "time at the most")
	command.Flags().Float64Var(&limits.Width, "width", 0.02, "width of the interval that is narrow enough")
	return command
}

// contender is what one side of a comparison runs.
type contender struct {
	scenarioPath string
	binary       string
}

// contendersOf returns the sides that the arguments of the compare command name.
func contendersOf(arguments []string, kind lab.Kind) (contenders [2]contender, err error) {
	a, b := arguments[lab.SideA], arguments[lab.SideB]
	if len(arguments) == 2 {
		binary := defaultBinary()
		return [2]contender{{scenarioPath: a, binary: binary}, {scenarioPath: b, binary: binary}}, nil
	}
	if kind == lab.ModelRun {
		return contenders, exitError{
			statusUsage,
			errors.New("compare A B SCENARIO with poolers, compare [--model] A B with scenario files"),
		}
	}
	path := arguments[2]
	return [2]contender{{scenarioPath: path, binary: a}, {scenarioPath: path, binary: b}}, nil
}

// compare runs both sides in pairs and prints the difference.
func compare(command *cobra.Command, arguments []string, kind lab.Kind, limits lab.CompareLimits) error {
	contenders, err := contendersOf(arguments, kind)
	if err != nil {
		return err
	}
	run := func(side lab.Side, seed uint64) (float64, error) {
		return contenders[side].score(command, kind, seed)
	}
	report := func(line string) {
		_, _ = fmt.Fprintln(command.ErrOrStderr(), line) // the result is worth as much without
	}
	result, err := lab.Compare(command.Context(), run, limits, report)
	if err != nil {
		return err
	}
	return printText(command, result.String()+"\n")
}

// score runs the contender's scenario with a seed and returns the score.
func (contender contender) score(command *cobra.Command, kind lab.Kind, seed uint64) (float64, error) {
	planned := scenarioRun{path: contender.scenarioPath, kind: kind, binary: contender.binary, seed: seed}
	run, err := planned.execute(command)
	if err != nil {
		return 0, err
	}
	if run.Invalid != "" {
		return 0, exitError{statusVoid, errors.New("a run is void: " + run.Invalid)}
	}
	return run.Result.Score(), nil
}
