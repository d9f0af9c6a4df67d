package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"capercove/internal/maintenance/agent"
)

// maintenanceCommands are the sub-commands of planned maintenance, each with the names of its arguments and flags.
var maintenanceCommands = []struct {
	name, short string
	arguments   []string
	flags       []string
}{
	{"plan", "Print the order in which the machines of a plan would be taken out", []string{"FILE", "ADDR"}, nil},
	{"start", "Start a plan", []string{"FILE", "ADDR"}, nil},
	{"status", "Print the plan in progress", []string{"ADDR"}, []string{flagJSON, "watch"}},
	{"history", "Print what has happened to plans", []string{"ADDR"}, []string{flagJSON}},
	{"pause", "Take no further machine out", []string{"ADDR"}, nil},
	{"resume", "Go on with a plan that was paused", []string{"ADDR"}, nil},
	{"abort", "End the plan and take the machines back", []string{"ADDR"}, nil},
	{"skip", "Leave a machine out of the plan", []string{"MACHINE", "ADDR"}, nil},
	{"begin", "Record that the work at a machine has begun", []string{"MACHINE", "ADDR"}, nil},
	{"end", "Record that the work at a machine has ended", []string{"MACHINE", "ADDR"}, nil},
	{"forget", "Wait no longer for a pooler that will not come back", []string{"POOLER", "ADDR"}, nil},
}

// maintenanceFlags maps the flags of maintenanceCommands to their help texts.
var maintenanceFlags = map[string]string{
	flagJSON: "print JSON",
	"watch":  "go on printing changes until the plan has ended",
}

// newMaintenanceCommand returns the command of planned maintenance with its sub-commands.
func newMaintenanceCommand() *cobra.Command {
	group := &cobra.Command{
		Use:                   "works COMMAND",
		Short:                 "Take machines out for planned maintenance, by the pooler managed at ADDR",
		DisableFlagsInUseLine: true,
		Args:                  cobra.ArbitraryArgs,
		RunE:                  requireCommand,
	}
	for _, verb := range maintenanceCommands {
		use := verb.name
		for _, name := range verb.flags {
			use += " [--" + name + "]"
		}
		for _, name := range verb.arguments {
			use += " " + name
		}
		command := &cobra.Command{
			Use:                   use,
			Short:                 verb.short,
			DisableFlagsInUseLine: true,
			DisableFlagParsing:    true, // agent.Command parses the arguments
			RunE: func(command *cobra.Command, arguments []string) error {
				return runMaintenance(command, verb.name, arguments, verb.arguments)
			},
		}
		for _, name := range verb.flags {
			command.Flags().Bool(name, false, maintenanceFlags[name])
		}
		group.AddCommand(command)
	}
	return group
}

// runMaintenance runs a sub-command through agent.Command. If agent.Command does not accept the arguments,
// runMaintenance returns a usage error that names the invalid argument.
func runMaintenance(command *cobra.Command, verb string, arguments, names []string) error {
	for _, help := range []string{"-h", "-help", "--help"} {
		if slices.Contains(arguments, help) {
			return command.Help()
		}
	}
	status, accepted := agent.Command(append([]string{verb}, arguments...), command.OutOrStdout())
	if accepted {
		if status != statusGood {
			return exitError{status: status}
		}
		return nil
	}
	flags := command.Flags()
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	if err := positional(len(names), names...)(command, flags.Args()); err != nil {
		return err
	}
	return fmt.Errorf("wrong arguments %q", arguments)
}
