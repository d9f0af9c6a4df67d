// Command wirehost hosts routers for the simulator. It reads batches of events from standard input and writes one reply
// per batch to standard output.
package main

import (
	"fmt"
	"os"

	"capercove/internal/simhost"
)

func main() {
	if err := simhost.Run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
