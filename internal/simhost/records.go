package simhost

import "errors"

// eventCode is the code of a record that the simulator sends. Unknown ones are skipped.
type eventCode uint8

// The codes of events.
const (
	eventHalt        eventCode = 16 // the instance has ended
	eventConfigure   eventCode = 17 // the instance begins
	eventRequest     eventCode = 18 // a request has arrived
	eventInstance    eventCode = 19 // the records that follow are about this instance
	eventTimer       eventCode = 20 // a timer has fired
	eventAttemptDone eventCode = 21 // an attempt has ended
	eventProbeDone   eventCode = 22 // a health check has ended
	eventClientGone  eventCode = 23 // the client has given a request up
	eventDefineList  eventCode = 25 // an endpoint list, with the number that later records name it by
	eventList        eventCode = 26 // an endpoint list has arrived
)

// actionCode is the code of a record that is sent to the simulator.
type actionCode uint8

// The codes of actions.
const (
	actionFail      actionCode = 16 // a request fails
	actionTimer     actionCode = 17 // the router wants an eventTimer after a time
	actionSend      actionCode = 19 // a request is sent to a database
	actionReject    actionCode = 20 // a request is rejected
	actionSubscribe actionCode = 24 // the router wants the endpoint list
	actionProbe     actionCode = 25 // a health check of a database
	actionInstance  actionCode = 26 // the records that follow are of this instance
	actionCancel    actionCode = 28 // an attempt is cancelled
)

// Sizes of the parts of batches and replies, in bytes. Numbers are big-endian.
const (
	sizeBytes         = 4                     // the size that begins the header of a batch and of a reply
	codeBytes         = 1                     // the code that begins the header of a record
	batchHeaderBytes  = sizeBytes + 8 + 4 + 4 // size of the records, time, number of records, number of the batch
	replyHeaderBytes  = sizeBytes + 4 + 4     // size of the records, number of records, number of the batch
	recordHeaderBytes = codeBytes + 4         // code, size of the fields
	maxBatchBytes     = 1 << 30
	listEntryBytes    = 28
	nodeBytes         = 6 // number of a node
)

// Offsets in the header of a reply, behind the size of the records.
const (
	replyCountOffset  = sizeBytes
	replyNumberOffset = replyCountOffset + 4
)

// ErrShortRecord is returned for a record that ends before its fields, or runs past the end of its batch.
var ErrShortRecord = errors.New("field runs past its record")
