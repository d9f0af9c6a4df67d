// Package simhost hosts routers for the simulator: it reads batches of events, hands them to the routers that they are
// about, and writes the routers' actions. It decides nothing. The routers are those of package routing, as in poolers.
package simhost

import (
	"bufio"
	"io"

	"capercove/routing"
)

// inputBufferBytes is the size of the buffer in which input is read.
const inputBufferBytes = 64 << 10

// Run answers each batch of the input with one reply on the output, until the input ends between two batches.
func Run(input io.Reader, output io.Writer) error {
	decoder := NewDecoder(bufio.NewReaderSize(input, inputBufferBytes))
	routers := host{}
	var frame []byte // the last reply; its array is reused
	for {
		batch, err := decoder.Next()
		if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is an input that ends inside a batch
			return nil
		}
		if err != nil {
			return err
		}
		frame = AppendReply(frame[:0], batch.Number, routers.step(&batch))
		if _, err := output.Write(frame); err != nil {
			return err
		}
	}
}

// host holds the routers by the ID of their instance.
type host map[uint32]*routing.Router

// step hands a batch to its routers. Events for an instance that has not begun are dropped.
func (h host) step(batch *Batch) []Reply {
	replies := make([]Reply, 0, len(batch.Instances))
	for _, instance := range batch.Instances {
		if instance.Halted {
			delete(h, instance.ID)
		}
		if instance.Start != nil {
			h[instance.ID] = routing.New(instance.Start.Settings, instance.Start.Seed)
		}
		if router := h[instance.ID]; router != nil {
			actions := router.Step(batch.Now, instance.Events, nil)
			replies = append(replies, Reply{ID: instance.ID, Actions: actions})
		}
	}
	return replies
}
