package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"capercove/internal/config/tables"
	"capercove/internal/maintenance/agent"
	"capercove/internal/membership/gossip"
	"capercove/internal/pooler"
)

// command runs a sub-command, if there is one: with no argument the program serves. It returns the exit status.
func command(args []string, out io.Writer) (status int, ran bool) {
	if len(args) == 0 {
		return 0, false
	}
	switch {
	case args[0] == "version" && len(args) == 1:
		version, revision, changed := pooler.Build()
		fmt.Fprintf(out, "capercove %s, revision %s%s\n", version, revision, changed)
		return 0, true
	case args[0] == "check" && len(args) <= 2:
		if len(args) == 2 {
			os.Setenv(tables.Variable, args[1])
		}
		if err := pooler.CheckConfiguration(); err != nil {
			fmt.Fprintln(out, err)
			return 1, true
		}
		fmt.Fprintln(out, "good")
		return 0, true
	case args[0] == "works":
		if status, ok := agent.Command(args[1:], out); ok {
			return status, true
		}
	case args[0] == "fleet":
		if status, ok := showFleet(args[1:], out); ok {
			return status, true
		}
	}
	fmt.Fprintln(out, "usage: capercove                 serve, as GW_CONFIG and the operators' file say\n"+
		"       capercove check [FILE]    check the operators' file, and the platform's if GW_CONFIG is set\n"+
		"       capercove fleet [--all] [--json] ADDR\n"+
		"                                 the fleet as the pooler managed at ADDR sees it; with --all, whether all see the same\n"+
		"       capercove works plan|start FILE ADDR | status [--json] [--watch] ADDR | history ADDR | pause|resume|abort ADDR |\n"+
		"                       skip|begin|end MACHINE ADDR | forget POOLER ADDR\n"+
		"                                 take machines out for work, by the pooler managed at ADDR\n"+
		"       capercove version")
	return 2, true
}

// showFleet prints a pooler's view of the fleet. It returns 0 where the views agree, 1 where they do not, 2 where none is to be had.
func showFleet(args []string, out io.Writer) (status int, ok bool) {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	all, asJSON := flags.Bool("all", false, ""), flags.Bool("json", false, "")
	if flags.Parse(args) != nil || flags.NArg() != 1 {
		return 0, false
	}
	s, err := gossip.Query(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(out, err)
		return 2, true
	}
	var shown any = s
	agree, show := s.Agree, func() { s.Print(out, time.Now()) }
	if *all {
		everyone := gossip.QueryAll(s)
		shown, agree, show = everyone, everyone.Agree(), func() { everyone.Print(out, time.Now()) }
	}
	if *asJSON {
		text, err := json.MarshalIndent(shown, "", " ")
		if err != nil {
			fmt.Fprintln(out, err)
			return 2, true
		}
		show = func() { fmt.Fprintln(out, string(text)) }
	}
	show()
	if !agree {
		return 1, true
	}
	return 0, true
}
