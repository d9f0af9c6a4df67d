package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/mattn/go-isatty"

	"capercove/internal/load"
	"capercove/internal/scenario"
)

// progressInterval is the least time between two lines where each has to be a new one.
const progressInterval = 5 * time.Second

// progress shows how far a run is: in one line that is overwritten on a terminal, in new lines elsewhere.
type progress struct {
	out         io.Writer
	onTerminal  bool
	scenario    *scenario.Scenario
	lastPrinted time.Duration // since the beginning of the run
}

// newProgress returns the progress of a run that has not begun.
func newProgress(out io.Writer, described *scenario.Scenario) *progress {
	file, isFile := out.(*os.File)
	return &progress{
		out:        out,
		onTerminal: isFile && isatty.IsTerminal(file.Fd()),
		scenario:   described,
	}
}

// print shows the progress at a time since the beginning of the run.
func (progress *progress) print(elapsed time.Duration, driver *load.Driver) {
	if !progress.onTerminal && elapsed-progress.lastPrinted < progressInterval {
		return
	}
	progress.lastPrinted = elapsed
	line := progress.line(elapsed, driver)
	switch {
	case !progress.onTerminal:
		line += "\n"
	case elapsed.Seconds() >= progress.scenario.Seconds && driver.Open() == 0: // the last line stays
		line = "\r\x1b[K" + line + "\n"
	default:
		line = "\r\x1b[K" + line
	}
	_, _ = io.WriteString(progress.out, line) // a run is worth as much without
}

// line returns the progress as text.
func (progress *progress) line(elapsed time.Duration, driver *load.Driver) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%5.1f of %.0f s, %d open", elapsed.Seconds(), progress.scenario.Seconds, driver.Open())
	for _, class := range progress.scenario.Classes {
		fmt.Fprintf(&text, "; %s %.3f in time", class.Name, driver.Result.Classes[class.Name].InTimeShare())
	}
	return text.String()
}
