package testbed

import "strings"

// CountLines returns how many lines the program has printed that contain a text, over all its runs since the start of
// the bed or ClearLog.
func (b *Bed) CountLines(with string) int {
	count := 0
	for _, line := range b.log.lines() {
		if strings.Contains(line, with) {
			count++
		}
	}
	return count
}
