// Command capercove is a pooler for PostgreSQL and Flight SQL. Without arguments it runs the server. The platform's
// file, named by GW_CONFIG, and the operators' file configure it. With arguments it runs a sub-command.
//
// The server ends with status 0 after a graceful shutdown and with 1 on an error. A sub-command ends with status 0 on
// success, with 1 if it reports a fault, and with 2 if the command line is wrong or no pooler answers.
package main

import (
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"capercove/internal/pooler"
)

// Exit statuses.
const (
	statusGood  = 0
	statusFault = 1
	statusUsage = 2
)

func main() {
	if arguments := os.Args[1:]; len(arguments) > 0 {
		os.Exit(runCommand(arguments, os.Stdout, os.Stderr))
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := pooler.Run(log); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "capercove:", err) // a failed write to standard error cannot be reported
		os.Exit(statusFault)
	}
}
