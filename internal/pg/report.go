package pg

import (
	"strconv"
	"strings"
)

// ParseLoadReport parses a load report such as "x0=1767225600.123,x1=1,util=0.61" and returns its values by field name.
// Fields whose value is not a number are omitted.
func ParseLoadReport(text string) map[string]float64 {
	report := map[string]float64{}
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			report[name] = number
		}
	}
	return report
}
