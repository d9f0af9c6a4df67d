// Command capercove is one real pooler: clients and databases on sockets round the decisions of package choice.
package main

import (
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"capercove/internal/pooler"
)

func main() {
	if status, ran := command(os.Args[1:], os.Stdout); ran {
		os.Exit(status)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := pooler.Run(log); err != nil {
		fmt.Fprintln(os.Stderr, "capercove:", err)
		os.Exit(1)
	}
}
