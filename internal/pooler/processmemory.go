package pooler

import (
	"fmt"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// statmPath is the file in which the kernel reports the memory of this process, in pages.
const statmPath = "/proc/self/statm"

// memoryCheckInterval is how often the soft limit of the memory is adapted, and the resident memory compared with its
// limit.
const memoryCheckInterval = 250 * time.Millisecond

// memoryWarningInterval is the least time between two log lines about the memory.
const memoryWarningInterval = time.Second

// memoryWarningPercent is the part of the limit from which the resident memory is logged, in percent.
const memoryWarningPercent = 85

// Names of the figures of package runtime/metrics that processMemory reports.
const (
	metricLiveHeap   = "/gc/heap/live:bytes"
	metricHeap       = "/memory/classes/heap/objects:bytes"
	metricRuntime    = "/memory/classes/total:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// processMemory is what the process holds, in bytes. It is logged as JSON.
type processMemory struct {
	Resident     uint64 // pages in memory, those of files included; 0: the kernel does not report it
	FilePages    uint64 // the part of Resident that is of files: the program itself, and libraries
	PeakResident uint64 // the largest of the values of Resident that were read so far
	Limit        uint64 // the grant of the platform
	SoftLimit    uint64 // that the garbage collector aims at
	LiveHeap     uint64 // reachable at the end of the last garbage collection
	Heap         uint64 // reachable, or not collected yet
	Runtime      uint64 // mapped by the Go runtime
	Goroutines   uint64
}

// residentBytes is what the kernel reports of the memory of this process. All are 0 if it reports nothing.
type residentBytes struct {
	all  uint64 // pages in memory
	file uint64 // those of them that hold parts of files: the program itself, and libraries
}

// readResident asks the kernel.
func readResident() residentBytes {
	text, err := os.ReadFile(statmPath)
	if err != nil {
		return residentBytes{}
	}
	var totalPages, residentPages, filePages uint64
	if _, err := fmt.Sscan(string(text), &totalPages, &residentPages, &filePages); err != nil {
		return residentBytes{}
	}
	pageBytes := uint64(os.Getpagesize())
	return residentBytes{all: residentPages * pageBytes, file: filePages * pageBytes}
}

// readMemory returns the present figures.
func (p *Pooler) readMemory() processMemory {
	samples := []metrics.Sample{
		{Name: metricLiveHeap}, {Name: metricHeap}, {Name: metricRuntime}, {Name: metricGoroutines},
	}
	metrics.Read(samples)
	resident := readResident()
	p.peakResident = max(p.peakResident, resident.all)
	return processMemory{
		Resident:     resident.all,
		FilePages:    resident.file,
		PeakResident: p.peakResident,
		Limit:        uint64(p.limits.Process.MemoryBytes),
		SoftLimit:    uint64(p.limits.Process.SoftMemory(resident.file)),
		LiveHeap:     samples[0].Value.Uint64(),
		Heap:         samples[1].Value.Uint64(),
		Runtime:      samples[2].Value.Uint64(),
		Goroutines:   samples[3].Value.Uint64(),
	}
}

// watchMemory adapts the soft limit of the garbage collector to the memory that the program's file takes. That grows as
// parts of the program run for the first time. While the resident memory is near its limit, it
// logs the figures and what clients' buffers hold, and releases pages of the program. It schedules its next run.
func (p *Pooler) watchMemory() {
	resident := readResident()
	p.peakResident = max(p.peakResident, resident.all)
	if resident.all*100 >= uint64(p.limits.Process.MemoryBytes)*memoryWarningPercent {
		p.warnOfMemory()
		p.releaseProgramPages()
		resident = readResident()
	}
	debug.SetMemoryLimit(p.limits.Process.SoftMemory(resident.file))
	p.core.Wheel.Schedule(p.core.Now()+memoryCheckInterval, p.watchMemory)
}

// warnOfMemory logs the figures, at most once in memoryWarningInterval.
func (p *Pooler) warnOfMemory() {
	now := p.core.Now()
	if now < p.nextMemoryWarning {
		return
	}
	p.nextMemoryWarning = now + memoryWarningInterval
	p.log.Warn().Interface("memory", p.readMemory()).Interface("buffers", p.front.Buffers()).
		Int("connections", p.front.ConnectionCount()).Int("open", p.core.OpenRequests()).
		Msg("memory: near the limit")
}

// releaseProgramPages releases pages of the program, and logs a failure.
func (p *Pooler) releaseProgramPages() {
	if err := releaseProgramPages(); err != nil {
		p.log.Warn().Err(err).Msg("memory: pages of the program are not released")
	}
}
