package scenario

import (
	"fmt"
	"strings"
)

// OperatorsFile returns the poolers' operators' file, which is TOML. With admission control on, each tenant is found
// by the comment in its statements.
func (scenario *Scenario) OperatorsFile() string {
	var text strings.Builder
	writeLine := func(format string, arguments ...any) {
		fmt.Fprintf(&text, format+"\n", arguments...)
	}
	writeLine("[statements]")
	writeLine(`mode = "%s"`, scenario.Statements)
	if !scenario.Admission {
		return text.String()
	}
	writeLine("[door]")
	writeLine("enabled = true")
	written := map[string]bool{"": true}
	for _, load := range scenario.Loads {
		if written[load.Tenant] {
			continue
		}
		written[load.Tenant] = true
		writeLine("[[door.tenants]]")
		writeLine(`name = "%s"`, load.Tenant)
		writeLine("[[door.rules]]")
		writeLine(`tenant = "%s"`, load.Tenant)
		writeLine(`comment = "tenant=%s"`, load.Tenant)
	}
	return text.String()
}
