package testbed

import (
	"bytes"
	"strings"
	"sync"
)

// Output collects what is written to it, such as a log. It is safe for concurrent use.
type Output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(text []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(text)
}

// String returns all that was written since the last Reset.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// lines returns what was written since the last Reset, by lines.
func (o *Output) lines() []string { return strings.Split(o.String(), "\n") }

// Reset discards what was written.
func (o *Output) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buffer.Reset()
}
