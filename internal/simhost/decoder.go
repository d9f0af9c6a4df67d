package simhost

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"capercove/internal/settings"
	"capercove/routing"
)

// Batch is one decoded frame: events of many instances that happen at one time.
type Batch struct {
	Now       time.Duration // on the simulator's clock
	Number    uint32        // the reply has the same
	Instances []*Instance   // in the order in which the batch first names them
}

// Instance holds a batch's events for one router.
type Instance struct {
	ID     uint32
	Halted bool            // the router that the host had for it has ended
	Start  *Start          // a new router begins; nil: none
	Events []routing.Event // for the router, in order
}

// Start is the message that begins a router.
type Start struct {
	Seed     uint64
	Settings routing.Settings
}

// Decoder reads batches. It keeps the numbered endpoint lists, and the settings of each instance, by which the fields
// of its events are read.
type Decoder struct {
	input    io.Reader
	buffer   bytes.Buffer                  // the records of the current batch
	lists    map[uint16][]routing.Node     // by the number that records name them by
	settings map[uint32]*settings.Settings // by the instance's ID
}

// NewDecoder returns a decoder that reads from an input.
func NewDecoder(input io.Reader) *Decoder {
	return &Decoder{input: input, lists: map[uint16][]routing.Node{}, settings: map[uint32]*settings.Settings{}}
}

// Next reads a batch. It returns io.EOF itself when the input ends between batches, and wraps it when the input ends
// inside one.
func (d *Decoder) Next() (Batch, error) {
	var header [batchHeaderBytes]byte
	if _, err := io.ReadFull(d.input, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxBatchBytes {
		return Batch{}, fmt.Errorf("batch of %d bytes", size)
	}
	d.buffer.Reset() // it grows with what arrives, not with what the header claims
	if read, err := io.CopyN(&d.buffer, d.input, int64(size)); err != nil {
		return Batch{}, fmt.Errorf("batch body of %d bytes, after %d: %w", size, read, err)
	}
	fields := fieldReader{rest: header[sizeBytes:]}
	batch := Batch{Now: fields.milliseconds()}
	if fields.err != nil {
		return batch, fields.err
	}
	count := fields.uint32()
	batch.Number = fields.uint32()
	reader := batchReader{decoder: d, batch: &batch, instances: map[uint32]*Instance{}}
	return batch, reader.records(d.buffer.Bytes(), count)
}

// batchReader reads the records of one batch.
type batchReader struct {
	decoder   *Decoder
	batch     *Batch
	instances map[uint32]*Instance
	current   *Instance // that the records are about; nil before the first is named
}

// records reads so many records, which have to take up all of the batch's body.
func (r *batchReader) records(body []byte, count uint32) error {
	for i := range count {
		next, rest, err := cutRecord(body)
		if err != nil {
			return r.failure(i, err)
		}
		body = rest
		fields := fieldReader{rest: next.fields}
		if err := r.record(next.code, &fields); err != nil {
			return r.failure(i, err)
		}
		if fields.err != nil {
			return fmt.Errorf("batch %d: record %d, code %d: %w", r.batch.Number, i, next.code, fields.err)
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("batch %d: %d bytes after its records", r.batch.Number, len(body))
	}
	return nil
}

// record is one record as it is cut off a batch's body.
type record struct {
	code   eventCode
	fields []byte
}

// cutRecord cuts a record off the front of a batch's body.
func cutRecord(body []byte) (next record, rest []byte, err error) {
	if len(body) < recordHeaderBytes {
		return record{}, nil, ErrShortRecord
	}
	size := binary.BigEndian.Uint32(body[codeBytes:])
	rest = body[recordHeaderBytes:]
	if uint64(size) > uint64(len(rest)) {
		return record{}, nil, ErrShortRecord
	}
	return record{code: eventCode(body[0]), fields: rest[:size]}, rest[size:], nil
}

// failure returns the error of a record, with its number in the batch from 0.
func (r *batchReader) failure(number uint32, cause error) error {
	return fmt.Errorf("batch %d: record %d: %w", r.batch.Number, number, cause)
}

// record takes in one record. Errors of its fields are left in the reader.
func (r *batchReader) record(code eventCode, fields *fieldReader) error {
	switch {
	case code == eventInstance:
		r.current = r.instance(fields.uint32())
	case code == eventDefineList:
		number := fields.uint16()
		r.decoder.lists[number] = fields.list()
	case r.current == nil:
		return errors.New("no instance named")
	case code == eventHalt:
		*r.current = Instance{ID: r.current.ID, Halted: true}
	case code == eventConfigure:
		return r.configure(fields)
	default:
		return r.event(code, fields)
	}
	return nil
}

// instance returns the batch's events for a router. The first call for a router adds it to the batch.
func (r *batchReader) instance(id uint32) *Instance {
	instance := r.instances[id]
	if instance == nil {
		instance = &Instance{ID: id}
		r.instances[id] = instance
		r.batch.Instances = append(r.batch.Instances, instance)
	}
	return instance
}

// configure takes in the record that begins the current instance. Its events so far were for an earlier router.
func (r *batchReader) configure(fields *fieldReader) error {
	seed := fields.uint64()
	parsed, err := settings.Parse(fields.bytes(int(fields.uint32())))
	if fields.err == nil && err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	r.decoder.settings[r.current.ID] = &parsed
	r.current.Start = &Start{Seed: seed, Settings: parsed.Routing}
	r.current.Events = nil
	return nil
}

// event adds an event to the current instance. One of an unknown code is skipped.
func (r *batchReader) event(code eventCode, fields *fieldReader) (err error) {
	configured := r.decoder.settings[r.current.ID]
	if configured == nil {
		configured = &settings.Settings{}
	}
	var event routing.Event
	switch code {
	case eventRequest:
		event, err = fields.requestArrived(configured, r.batch.Now)
	case eventAttemptDone:
		event, err = fields.attemptDone(configured)
	case eventProbeDone:
		event = fields.probeDone(configured)
	case eventClientGone:
		event.Kind = routing.ClientGone
		event.Request = routing.RequestID(fields.uint64())
	case eventTimer:
		event.Kind = routing.TimerFired
	case eventList:
		event, err = fields.listArrived(r.decoder.lists)
	default:
		return nil
	}
	if err == nil {
		r.current.Events = append(r.current.Events, event)
	}
	return err
}
