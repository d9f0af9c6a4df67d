//go:build !race || !raceprogram

package testbed

// buildFlags are those of go build for the program.
var buildFlags []string
