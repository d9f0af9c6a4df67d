package pooler

import (
	"runtime/debug"
)

// Build tells which build this is.
func Build() (version, revision, changed string) {
	version, revision = "devel", "unknown"
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return version, revision, ""
	}
	for _, s := range b.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed since"
		}
	}
	return b.Main.Version + " " + b.GoVersion, revision, changed
}
