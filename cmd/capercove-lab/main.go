// Command capercove-lab shows the pooler at work without the platform: it runs an emulated fleet of databases, sends
// load, runs scenarios with real poolers or in a model, compares builds and writes reports.
//
// Exit status: 0 all expectations are met; 1 another error; 2 the command line is wrong; 3 an expectation is not met
// or a rule was broken; 4 a run was void.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	statusGood  = 0
	statusFault = 1
	statusUsage = 2
	statusUnmet = 3
	statusVoid  = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := execute(ctx, newRootCommand(), os.Stderr)
	stop()
	os.Exit(status)
}
