package simhost

import (
	"errors"
	"fmt"
	"math"
	"time"

	"capercove/internal/settings"
	"capercove/routing"
)

// Bounds of numbers, within which times are exact enough as a time.Duration.
const (
	maxMilliseconds    = 9e12
	maxPositionSeconds = 9e9
)

const millisecondsPerSecond = 1000

// primaryRole is the value of a load report's role field for a primary. All others stand for a replica.
const primaryRole = 1

// fieldReader reads the fields of a record in turn. After the first error it reads zeros.
type fieldReader struct {
	rest []byte
	err  error // the errors so far, joined
}

// fail notes an error, besides those that there are.
func (r *fieldReader) fail(err error) { r.err = errors.Join(r.err, err) }

// bytes reads so many bytes; nil after an error.
func (r *fieldReader) bytes(size int) []byte {
	if r.err == nil && (size < 0 || size > len(r.rest)) {
		r.err = ErrShortRecord
	}
	if r.err != nil {
		return nil
	}
	head := r.rest[:size]
	r.rest = r.rest[size:]
	return head
}

// number reads an unsigned number of so many bytes.
func (r *fieldReader) number(size int) (value uint64) {
	for _, digit := range r.bytes(size) {
		value = value<<8 | uint64(digit)
	}
	return value
}

func (r *fieldReader) uint8() uint8         { return uint8(r.number(1)) }
func (r *fieldReader) uint16() uint16       { return uint16(r.number(2)) }
func (r *fieldReader) uint32() uint32       { return uint32(r.number(4)) }
func (r *fieldReader) uint64() uint64       { return r.number(8) }
func (r *fieldReader) float32() float32     { return math.Float32frombits(r.uint32()) }
func (r *fieldReader) node() routing.NodeID { return routing.NodeID(r.number(nodeBytes)) }

// milliseconds reads a time.
func (r *fieldReader) milliseconds() time.Duration {
	value := math.Float64frombits(r.uint64())
	if !within(value, maxMilliseconds) {
		r.fail(fmt.Errorf("time of %v ms", value))
		return 0
	}
	return duration(value)
}

// within reports whether a number is finite and at most so far from 0.
func within(value, bound float64) bool { return value >= -bound && value <= bound }

// duration returns a number of milliseconds as a time, rounded to nanoseconds.
func duration(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds * float64(time.Millisecond)))
}

// statuses are the outcomes of attempts and health checks, by the simulator's codes.
var statuses = map[uint16]routing.Status{
	200: routing.OK,
	404: routing.NodeRejected,
	410: routing.NotSent,
	499: routing.Cancelled,
	500: routing.NodeError,
	502: routing.ConnectFailed,
	503: routing.NodeOverloaded,
	504: routing.TimedOut,
	598: routing.ConnectionBroken,
}

// status reads how an attempt or a health check ended.
func (r *fieldReader) status() routing.Status {
	code := r.uint16()
	status, known := statuses[code]
	if !known && r.err == nil {
		r.fail(fmt.Errorf("unknown outcome code %d", code))
	}
	return status
}

// connectionStatus returns the status of an attempt that took some time. The simulator has one code for a connection
// that was refused and for one that never came up: only the latter takes its timeout.
func connectionStatus(status routing.Status, took, timeout time.Duration) routing.Status {
	if status == routing.ConnectFailed && took < timeout/2 {
		return routing.ConnectRefused
	}
	return status
}

// report reads a load report, whose fields the settings name.
func (r *fieldReader) report(configured *settings.Settings) (evidence routing.Evidence) {
	for i := range int(r.uint8()) {
		value := r.float32()
		switch i {
		case configured.PositionField:
			if !within(float64(value), maxPositionSeconds) {
				r.fail(fmt.Errorf("position of %v s", value))
			} else if value > 0 { // rounded down: a position must not be overstated
				seconds := float64(math.Nextafter32(value, 0))
				evidence.Position = configured.Origin + duration(seconds*millisecondsPerSecond)
			}
		case configured.QueueField:
			evidence.ReportsQueue, evidence.QueueLength = true, float64(value)
		case configured.RoleField:
			evidence.Role = routing.Replica
			if value == primaryRole {
				evidence.Role = routing.Primary
			}
		}
	}
	return evidence
}

// list reads the entries of an endpoint list.
func (r *fieldReader) list() []routing.Node {
	count := r.uint32()
	if uint64(count)*listEntryBytes > uint64(len(r.rest)) {
		r.fail(ErrShortRecord)
		return nil
	}
	nodes := make([]routing.Node, count)
	for i := range nodes {
		nodes[i] = r.listEntry()
	}
	return nodes
}

// listEntry reads one entry of an endpoint list.
func (r *fieldReader) listEntry() (node routing.Node) {
	const lastState = uint8(routing.Draining)
	state := r.uint8()
	node.State = routing.NodeState(state)
	r.float32() // rating: members of a group hold the same data, and routing measures their capacity
	node.Primary = r.float32() == 1
	node.ID = r.node()
	r.uint8() // machine kind
	node.Started = r.milliseconds()
	node.Zone = int(r.uint16())
	node.Group = int(r.uint16())
	if state > lastState {
		r.fail(fmt.Errorf("list entry of status %d", state))
	}
	return node
}
