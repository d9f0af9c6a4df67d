package idclaim

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// wordBytes is the size of a word of a table.
	wordBytes = 8
	// fileFormat ends the file's name. A program that lays a table out in another way uses another one.
	fileFormat = "1"
	// privateFile is the mode of the file.
	privateFile = 0o600
)

// Open returns the table that all processes of a pooler share, in a file of a common directory. The file is made if
// there is none, and stays mapped until the process ends. The claims last as long as the file.
func Open(dir, pooler string) (*Table, error) {
	path := filepath.Join(dir, fmt.Sprintf("capercove-ids-%s.%s", pooler, fileFormat))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, privateFile)
	if err != nil {
		return nil, fmt.Errorf("ids: %w", err)
	}
	defer func() { _ = file.Close() }() // the mapping stays
	return mapTable(file)
}

// mapTable gives the file its size and maps it. A hole in it reads as free words.
func mapTable(file *os.File) (*Table, error) {
	const size = tableWords * wordBytes
	reserve := unix.Fallocate(int(file.Fd()), 0, 0, size) // a full disk would else end the process at a write
	if errors.Is(reserve, unix.EOPNOTSUPP) {
		reserve = file.Truncate(size)
	}
	if reserve != nil {
		return nil, fmt.Errorf("ids: reserve %s: %w", file.Name(), reserve)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("ids: map %s: %w", file.Name(), err)
	}
	return &Table{unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(unsafe.SliceData(mapped))), tableWords)}, nil
}
