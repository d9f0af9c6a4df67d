package pooler

import "runtime/debug"

// Build identifies the build: the module's version with that of Go, the revision of the source, and a note if the
// source differed from it. Without such a record they are "devel", "unknown" and "".
func Build() (version, revision, changed string) {
	version, revision = "devel", "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version, revision, ""
	}
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = ", changed since"
		}
	}
	return info.Main.Version + " " + info.GoVersion, revision, changed
}
