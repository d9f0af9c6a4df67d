package main

import (
	"strings"

	"github.com/spf13/cobra"

	"capercove/internal/lab"
	"capercove/internal/scenario"
	"capercove/internal/standin"
)

// fleetOptions are the flags of the fleet command.
type fleetOptions struct {
	dir        string
	listen     string
	management string
}

// newFleetCommand returns the command that runs databases and discovery for a pooler that the user starts.
func newFleetCommand() *cobra.Command {
	var options fleetOptions
	command := newScenarioCommand("fleet",
		"Run a scenario's databases and discovery until interrupted, and write a pooler's configuration",
		func(command *cobra.Command, path string) error { return runFleet(command, path, options) })
	command.Flags().StringVar(&options.dir, "dir", ".", "folder for pooler-0.json and pooler-0.toml")
	command.Flags().StringVar(&options.listen, "listen", "127.0.0.1:6543", "where the pooler is to listen")
	command.Flags().StringVar(&options.management, "management", "127.0.0.1:6544", "where operators call it")
	return command
}

// runFleet runs the fleet of a scenario until the command is interrupted.
func runFleet(command *cobra.Command, path string, options fleetOptions) error {
	described, err := scenario.LoadFile(path)
	if err != nil {
		return err
	}
	fleet, err := standin.Start(described, loopbackHost)
	if err != nil {
		return err
	}
	defer fleet.Close()
	configuration := lab.PoolerConfiguration{
		Listen:     options.listen,
		Management: options.management,
		Dir:        options.dir,
	}
	if err := configuration.Write(fleet); err != nil {
		return err
	}
	start := strings.Join(configuration.Environment(), " ") + " capercove\n"
	if err := printText(command, start); err != nil {
		return err
	}
	fleet.Clock.Wait(fleet.Begin)
	<-command.Context().Done()
	return nil
}
