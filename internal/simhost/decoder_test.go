package simhost

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/routing"
)

// Batches are decoded to what their bytes mean: a configuration, and then a request, a timer and a client that left.
func TestBatchesAreDecoded(t *testing.T) {
	input := frame(5, about(3),
		unhex(t, `12 0000002d 0000652a5d3a91c4 0000 0000 91f03b7c55d20a64 406e000000000000 4028000000000000 41300000
		 43ce4000 01`), unhex(t, "14 00000008 000000000000004d"), about(5), unhex(t, "17 00000008 00083b480e6f2b19"))
	decoder := NewDecoder(bytes.NewReader(append(frame(2, about(3), configure(sampleSettings)), input...)))
	first, err := decoder.Next()
	require.NoError(t, err)
	start := first.Instances[0].Start
	require.NotNil(t, start)
	require.EqualValues(t, 99, start.Seed)
	require.Equal(t, 2, start.Settings.Routers)
	require.Equal(t, 9.5, start.Settings.Quotas[0])
	require.EqualValues(t, 3, start.Settings.OverloadMultiple)
	classes := start.Settings.Classes
	require.Equal(t, routing.BoundedRead, classes[0].Read)
	require.Equal(t, 800*time.Millisecond, classes[0].MaxAge)
	require.Equal(t, routing.Deduplicated, classes[1].Effect)
	require.Equal(t, routing.DedupZone, classes[1].DedupGroup)
	require.Equal(t, routing.Write, classes[2].Read)
	require.Equal(t, 0.5, classes[2].LateWeight)
	batch, err := decoder.Next()
	require.NoError(t, err)
	require.Equal(t, 8412250*time.Microsecond, batch.Now)
	require.EqualValues(t, 12, batch.Number)
	require.Len(t, batch.Instances, 2)
	events := batch.Instances[0].Events
	require.Len(t, events, 2)
	require.EqualValues(t, 0x652a5d3a91c4, events[0].Request)
	require.Equal(t, routing.TimerFired, events[1].Kind)
	arrival := events[0].Arrival
	require.EqualValues(t, uint64(0x91f03b7c55d20a64), arrival.Session)
	require.Equal(t, 240*time.Millisecond, arrival.TimeLeft)
	require.Equal(t, 12*time.Millisecond, arrival.Work)
	require.Equal(t, 11, arrival.Group)
	wrote := batch.Now - 412500*time.Microsecond
	require.GreaterOrEqual(t, arrival.LastWrite, wrote)
	require.LessOrEqual(t, arrival.LastWrite, wrote+time.Millisecond, "just after it")
	gone := batch.Instances[1].Events[0]
	require.Equal(t, routing.ClientGone, gone.Kind)
	require.EqualValues(t, 0x83b480e6f2b19, gone.Request)
	_, err = decoder.Next()
	require.Equal(t, io.EOF, err)
}

// An endpoint list and an attempt's outcome are decoded to what their bytes mean, the position rounded down.
func TestListAndOutcomeAreDecoded(t *testing.T) {
	list := unhex(t, `19 0000003e 0000 00000002
	 01 3f800000 3f800000 0a124a07 232b 00 0000000000000000 0000 000b
	 01 3fc00000 00000000 0a9011f2 2354 00 40b7d40000000000 0001 000b`)
	outcome := unhex(t, `15 00000030 0000652a5d3a91c4 0000 0a124a07 232b 00c8 4032800000000000 01 0000638e
	 04 40c6872b000000004000000040e00000`)
	decoder := NewDecoder(bytes.NewReader(frame(5, about(3), configure(sampleSettings), list,
		unhex(t, "1a 0000000b 02 0000000000000029 0000"), outcome)))
	batch, err := decoder.Next()
	require.NoError(t, err)
	events := batch.Instances[0].Events
	require.Len(t, events, 2)
	require.Equal(t, routing.ListComplete, events[0].Kind)
	require.Len(t, events[0].Nodes, 2)
	first, second := events[0].Nodes[0], events[0].Nodes[1]
	require.True(t, first.Primary)
	require.Equal(t, routing.Ready, first.State)
	require.EqualValues(t, 0x0a124a07232b, first.ID)
	require.Equal(t, 11, first.Group)
	require.False(t, second.Primary)
	require.Equal(t, 1, second.Zone)
	require.Equal(t, 6100*time.Millisecond, second.Started)
	done := events[1].Outcome
	origin := 1000500 * time.Microsecond
	require.Equal(t, routing.OK, done.Status)
	require.True(t, done.Final)
	require.Equal(t, 18500*time.Microsecond, done.Duration)
	require.Equal(t, routing.Replica, done.AnswerEvidence.Role)
	require.Equal(t, origin+0x638e>>2*time.Millisecond, done.AnswerEvidence.Position)
	require.Equal(t, routing.Replica, done.HealthReport.Role)
	exact := origin + 6204*time.Millisecond
	require.LessOrEqual(t, done.HealthReport.Position, exact)
	require.GreaterOrEqual(t, done.HealthReport.Position, exact-time.Millisecond, "just under it")
}

// Each fault of a batch is an error that says where it is and what is wrong, and is no regular end.
func TestBadInput(t *testing.T) {
	probe := func(digits string) []byte {
		return frame(3, about(3), configure(sampleSettings), unhex(t, "16 00000011 0a124a07232b"+digits))
	}
	list := func(digits string) []byte {
		return frame(3, about(3), configure(sampleSettings), unhex(t, "1a 0000000b"+digits))
	}
	changed := func(old, word string) []byte {
		return frame(2, about(3), configure(strings.Replace(sampleSettings, old, word, 1)))
	}
	cases := map[string]struct {
		input []byte
		want  string
	}{
		"cut header": {frame(0)[:7], "batch header: unexpected EOF"},
		"cut body":   {frame(1, about(3))[:22], "batch body of 9 bytes, after 2: EOF"},
		"empty body": {frame(1, about(3))[:20], "batch body of 9 bytes, after 0: EOF"},
		"record past its end": {
			frame(1, []byte{byte(eventInstance), 0, 0, 0, 9, 0, 0, 0, 3}), "record 0: field runs past",
		},
		"short field": {
			frame(1, []byte{byte(eventInstance), 0, 0, 0, 2, 0, 3}), "record 0, code 19: field runs past",
		},
		"record cut short":  {frame(1, []byte{byte(eventInstance), 0, 0, 0}), "record 0: field runs past its record"},
		"bytes left":        {frame(0, about(3)), "batch 12: 9 bytes after its records"},
		"no instance":       {frame(1, unhex(t, "14 00000008 000000000000004d")), "record 0: no instance named"},
		"unknown outcome":   {probe("00c9 0000000000000000 00"), "code 22: unknown outcome code 201"},
		"time out of range": {probe("00c8 7ff8000000000000 00"), "code 22: time of NaN ms"},
		"undefined list":    {list("02 0000000000000029 0007"), "list 7 is not defined"},
		"odd kind of list":  {list("04 0000000000000029 0007"), "list of kind 4"},
		"not JSON":          {frame(2, about(3), configure("{")), "settings: unexpected end of JSON input"},
		"no classes": {
			frame(2, about(3), configure(`{"balancers": 1, "allowed": {"sendCap": 1}}`)), "settings: lanes: no class",
		},
		"odd word":          {changed("unsafe", "maybe"), "settings: lanes[2].idempotency:"},
		"aim over deadline": {changed("1500.0", "1.0"), "settings: lanes[0].deadlineMs: 1 is under"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := NewDecoder(bytes.NewReader(test.input)).Next()
			require.ErrorContains(t, err, test.want)
			require.NotEqual(t, io.EOF, err)
		})
	}
}

// A record that ends before its fields is an ErrShortRecord.
func TestShortRecordIsErrShortRecord(t *testing.T) {
	_, err := NewDecoder(bytes.NewReader(frame(1, []byte{byte(eventInstance), 0, 0, 0, 2, 0, 3}))).Next()
	require.ErrorIs(t, err, ErrShortRecord)
}

// A request for an instance that is not configured names no class and is an error; an event of an unknown code is
// skipped.
func TestUnconfiguredRequestFailsAndUnknownEventIsSkipped(t *testing.T) {
	request := unhex(t, `12 0000002d 0000652a5d3a91c4 0000 0000 91f03b7c55d20a64 406e000000000000 4028000000000000
	 41300000 43ce4000 01`)
	_, err := NewDecoder(bytes.NewReader(frame(2, about(3), request))).Next()
	require.ErrorContains(t, err, "request names class 0, tenant 0, group 11")
	later := frame(3, about(3), configure(sampleSettings), []byte{0x63, 0, 0, 0, 1, 9})
	batch, err := NewDecoder(bytes.NewReader(later)).Next()
	require.NoError(t, err)
	require.Empty(t, batch.Instances[0].Events)
}

// What a batch holds for an instance before its halt is dropped; what comes behind it is for a new router.
func TestHaltDropsEarlierEvents(t *testing.T) {
	timer := unhex(t, "14 00000008 000000000000004d")
	decoder := NewDecoder(bytes.NewReader(frame(5, about(3), configure(sampleSettings), timer,
		[]byte{byte(eventHalt), 0, 0, 0, 0}, configure(sampleSettings))))
	batch, err := decoder.Next()
	require.NoError(t, err)
	require.True(t, batch.Instances[0].Halted)
	require.NotNil(t, batch.Instances[0].Start)
	require.Empty(t, batch.Instances[0].Events)
}

// Events before a configuration were for an earlier router, and are dropped.
func TestConfigurationDropsEarlierEvents(t *testing.T) {
	timer := unhex(t, "14 00000008 000000000000004d")
	decoder := NewDecoder(bytes.NewReader(frame(5, about(3), configure(sampleSettings), timer,
		configure(sampleSettings), timer)))
	batch, err := decoder.Next()
	require.NoError(t, err)
	require.False(t, batch.Instances[0].Halted)
	require.Len(t, batch.Instances[0].Events, 1)
}

// No input makes the decoder panic.
func FuzzDecoder(f *testing.F) {
	f.Add(frame(0))
	f.Add(frame(2, about(3), configure(sampleSettings)))
	f.Add(frame(3, about(3), configure(sampleSettings), unhex(f, `12 0000002d 0000652a5d3a91c4 0000 0000
	 91f03b7c55d20a64 406e000000000000 4028000000000000 41300000 43ce4000 01`)))
	f.Fuzz(func(_ *testing.T, input []byte) {
		decoder := NewDecoder(bytes.NewReader(input))
		for {
			if _, err := decoder.Next(); err != nil {
				return
			}
		}
	})
}
