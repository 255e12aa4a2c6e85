package rig

import (
	"bytes"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Usage is the resource usage of a process: its CPU time since its start and
// its resident memory.
type Usage struct {
	CPU           time.Duration
	ResidentBytes int64
}

const (
	// clockTick is the unit of CPU times in /proc/PID/stat on Linux.
	clockTick = 10 * time.Millisecond
	// Indexes of the fields in /proc/PID/stat after the program's name.
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// Usage reads the CPU and memory usage of the process.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process usage")
	}
	end := bytes.LastIndexByte(data, ')')
	fields := bytes.Fields(data[end+1:])
	if end < 0 || len(fields) <= statResident {
		return Usage{}, errors.New("process usage in /proc/PID/stat has too few fields")
	}
	user, _ := strconv.ParseInt(string(fields[statUserTime]), 10, 64)
	system, _ := strconv.ParseInt(string(fields[statSystemTime]), 10, 64)
	pages, _ := strconv.ParseInt(string(fields[statResident]), 10, 64)
	return Usage{
		CPU:           time.Duration(user+system) * clockTick,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
