package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc, which is the same on all platforms that Go supports.
const clockTick = 10 * time.Millisecond

// Indices of the fields of /proc/PID/stat (proc(5)), counted from the one after the program's name.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	statMemoryPages = 21
)

// processUsage returns what a process has used.
func processUsage(process int) (Usage, error) {
	path := fmt.Sprintf("/proc/%d/stat", process)
	text, err := os.ReadFile(path)
	if err != nil {
		return Usage{}, err
	}
	return parseProcessUsage(path, string(text))
}

// parseProcessUsage reads a text in the form of /proc/PID/stat.
func parseProcessUsage(path, text string) (Usage, error) {
	nameEnd := strings.LastIndexByte(text, ')') // the name may contain spaces and parentheses
	fields := strings.Fields(text[nameEnd+1:])
	if len(fields) <= statMemoryPages {
		return Usage{}, fmt.Errorf("%s: %d fields, want over %d", path, len(fields), statMemoryPages)
	}
	var values [statMemoryPages + 1]int64 // by index; the others are not read
	for _, index := range []int{statUserTicks, statSystemTicks, statMemoryPages} {
		var err error
		if values[index], err = strconv.ParseInt(fields[index], 10, 64); err != nil {
			return Usage{}, fmt.Errorf("%s: field %d: %w", path, index, err)
		}
	}
	memoryBytes := values[statMemoryPages] * int64(os.Getpagesize())
	return Usage{
		CPU:      time.Duration(values[statUserTicks]+values[statSystemTicks]) * clockTick,
		MemoryMB: float64(memoryBytes) / (1 << 20),
	}, nil
}
