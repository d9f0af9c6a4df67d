package main

import (
	"encoding/json"
	"io"
	"time"

	"github.com/spf13/cobra"

	"capercove/internal/membership/gossip"
)

// Name and flags of the fleet command. Maintenance commands use flagJSON, too.
const (
	fleetName = "fleet"
	flagAll   = "all"
	flagJSON  = "json"
)

// fleetView is the view of the fleet of one pooler or of all poolers.
type fleetView interface {
	Print(out io.Writer, now time.Time)
}

// newFleetCommand returns the command that prints a pooler's view of the fleet. The command ends with status 0 if the
// views agree, with 1 if they differ, and with 2 if no view is available.
func newFleetCommand() *cobra.Command {
	var all, asJSON bool
	command := &cobra.Command{
		Use:   fleetName + " [--all] [--json] ADDR",
		Short: "Print the fleet as the pooler managed at ADDR sees it",
		Long: "Print the fleet as the pooler managed at ADDR sees it;" +
			" with --all, whether all poolers see the same.\n\n" +
			"It ends with status 0 if the views agree, 1 if they do not, and 2 if none is to be had.",
		DisableFlagsInUseLine: true,
		Args:                  positional(1, "ADDR"),
		RunE: func(command *cobra.Command, arguments []string) error {
			return showFleet(command, arguments[0], all, asJSON)
		},
	}
	command.Flags().BoolVar(&all, flagAll, false, "ask all poolers, and tell whether they see the same")
	command.Flags().BoolVar(&asJSON, flagJSON, false, "print JSON")
	command.Flags().SetInterspersed(false)
	return command
}

// showFleet prints the view of the pooler with the given management address. If all is true, it queries every pooler in
// that view and prints their views together.
func showFleet(command *cobra.Command, address string, all, asJSON bool) error {
	state, err := gossip.Query(address)
	if err != nil {
		return exitError{statusUsage, err}
	}
	var view fleetView = state
	agree := state.Agree
	if all {
		combined := gossip.QueryAll(state)
		view, agree = combined, combined.Agree()
	}
	if asJSON {
		text, err := json.MarshalIndent(view, "", " ")
		if err != nil {
			return exitError{statusUsage, err}
		}
		if err := printLine(command, string(text)); err != nil {
			return err
		}
	} else {
		view.Print(command.OutOrStdout(), time.Now())
	}
	if !agree {
		return exitError{status: statusFault}
	}
	return nil
}
