//go:build race && raceprogram

package testbed

// buildFlags are those of go build for the program, which has the race detector too. That multiplies its memory, so that
// tests which bound that fail.
var buildFlags = []string{"-race"}
