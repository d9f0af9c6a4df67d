package simhost

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/routing"
)

// timeoutSettings are settings with a connection timeout of 1 s.
var timeoutSettings = strings.Replace(sampleSettings, `"sendCap": 10,`, `"sendCap": 10, "connectTimeoutMs": 1000,`, 1)

// Parts of records, in hexadecimal digits.
const (
	nodeDigits = "0a124a07232b "
	half       = "407f400000000000 " // 500 ms
	underHalf  = "407f3f0000000000 " // 499.9375 ms
	noReport   = "00"
)

// probeOf returns the record of a health check, as hexadecimal digits, and its event, which lacks only the status.
func probeOf(status string, took time.Duration, digits string) (string, routing.Event) {
	event := routing.Event{Kind: routing.ProbeDone, Outcome: routing.Outcome{Node: 0x0a124a07232b, Duration: took}}
	return "16 00000011" + nodeDigits + status + digits + noReport, event
}

// events returns the events of records for one instance that is configured.
func events(t *testing.T, records ...string) ([]routing.Event, error) {
	t.Helper()
	all := [][]byte{about(3), configure(timeoutSettings)}
	for _, record := range records {
		all = append(all, unhex(t, record))
	}
	batch, err := NewDecoder(bytes.NewReader(frame(uint32(len(all)), all...))).Next()
	if err != nil {
		return nil, err
	}
	return batch.Instances[0].Events, nil
}

// Each code has its status; a connection that failed before half of its timeout was refused.
func TestEachCodeHasItsStatus(t *testing.T) {
	cases := map[string]struct {
		code, took string
		want       routing.Status
	}{
		"answer":                     {"00c8", half, routing.OK},
		"rejected by the node":       {"0194", half, routing.NodeRejected},
		"not sent":                   {"019a", half, routing.NotSent},
		"cancelled":                  {"01f3", half, routing.Cancelled},
		"error of the node":          {"01f4", half, routing.NodeError},
		"overloaded":                 {"01f7", half, routing.NodeOverloaded},
		"timed out":                  {"01f8", half, routing.TimedOut},
		"connection broken":          {"0256", half, routing.ConnectionBroken},
		"connection never came up":   {"01f6", half, routing.ConnectFailed},
		"connection refused at once": {"01f6", underHalf, routing.ConnectRefused},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			took := 500 * time.Millisecond
			if test.took == underHalf {
				took = 499937500 * time.Nanosecond
			}
			record, want := probeOf(test.code, took, test.took)
			want.Outcome.Status = test.want
			got, err := events(t, record)
			require.NoError(t, err)
			require.Equal(t, []routing.Event{want}, got)
		})
	}
}

// Each kind of endpoint list is the event that it stands for.
func TestEachListIsTheEventOfItsKind(t *testing.T) {
	const define = "19 00000022 0007 00000001 00 00000000 00000000 0a124a07232b 00 0000000000000000 0002 0003 "
	nodes := []routing.Node{{ID: 0x0a124a07232b, Zone: 2, Group: 3}}
	cases := map[string]struct {
		kind string
		want routing.Event
	}{
		"updated":               {"00", routing.Event{Kind: routing.ListUpdated, Nodes: nodes}},
		"complete":              {"01", routing.Event{Kind: routing.ListComplete, Nodes: nodes}},
		"complete, second kind": {"02", routing.Event{Kind: routing.ListComplete, Nodes: nodes}},
		"failed":                {"03", routing.Event{Kind: routing.ListFailed}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := events(t, define, "1a 0000000b "+test.kind+" 0000000000000029 0007")
			require.NoError(t, err)
			require.Equal(t, []routing.Event{test.want}, got)
		})
	}
}

// Work counts only if the flag says that it is known, and a session without a write has no time of it.
func TestRequestWithoutWorkAndWrite(t *testing.T) {
	got, err := events(t, `12 0000002d 0000000000000007 0002 0000 0000000000000009 407f400000000000 407f400000000000
		41300000 00000000 00`)
	require.NoError(t, err)
	require.Equal(t, []routing.Event{{
		Kind: routing.RequestArrived, Request: 7,
		Arrival: routing.Arrival{Class: 2, Session: 9, TimeLeft: 500 * time.Millisecond, Group: 11},
	}}, got)
}

// A load report is read by the fields that the settings name, and its position is rounded down.
func TestLoadReportsAreReadByTheSettings(t *testing.T) {
	origin := 1000500 * time.Microsecond
	cases := map[string]struct {
		digits string
		want   routing.Evidence
	}{
		"none":                      {"00", routing.Evidence{}},
		"no position yet":           {"01 00000000", routing.Evidence{}},
		"position under the origin": {"01 bf800000", routing.Evidence{}},
		"primary":                   {"02 00000000 3f800000", routing.Evidence{Role: routing.Primary}},
		"replica":                   {"02 00000000 00000000", routing.Evidence{Role: routing.Replica}},
		"more fields than the settings name": {
			"04 00000000 3f800000 40e00000 7fc00000",
			routing.Evidence{Role: routing.Primary, ReportsQueue: true, QueueLength: 7},
		},
		"position is rounded down": {
			"01 3f800000", routing.Evidence{Position: origin + 999999940*time.Nanosecond},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			report := strings.ReplaceAll(test.digits, " ", "")
			got, err := events(t, fmt.Sprintf("16 %08x", 16+len(report)/2)+nodeDigits+"00c8"+half+report)
			require.NoError(t, err)
			require.Equal(t, test.want, got[0].Outcome.HealthReport)
		})
	}
}

// A field out of its range is an error that says which.
func TestBadFieldsAreErrors(t *testing.T) {
	cases := map[string]struct{ record, want string }{
		"position out of range": {
			"16 00000015" + nodeDigits + "00c8" + half + "01 7fc00000", "code 22: position of NaN s",
		},
		"role out of range": {
			"15 00000020 0000000000000007 0000" + nodeDigits + "00c8" + half + "01 00000003 00", "role 3",
		},
		"request of no class": {
			"12 0000002d 0000000000000007 0003 0000 0000000000000009" + strings.Repeat("0", 48) + "00",
			"request names class 3, tenant 0, group 0",
		},
		"request of no tenant": {
			"12 0000002d 0000000000000007 0000 0001 0000000000000009" + strings.Repeat("0", 48) + "00",
			"request names class 0, tenant 1, group 0",
		},
		"request of half a group": {
			"12 0000002d 0000000000000007 0000 0000 0000000000000009" + strings.Repeat("0", 32) +
				"3f000000 00000000 00",
			"request names class 0, tenant 0, group 0.5",
		},
		"list longer than its record": {"19 00000006 0007 00000001", "code 25: field runs past its record"},
		"entry of no state": {
			"19 00000022 0007 00000001 03" + strings.Repeat("0", 54), "code 25: list entry of status 3",
		},
		"settings longer than their record": {
			"11 0000000c 0000000000000001 00000001", "code 17: field runs past its record",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := events(t, test.record)
			require.ErrorContains(t, err, test.want)
		})
	}
}

// Times are read up to their bound, and states of listed nodes up to the last.
func TestBoundsOfFields(t *testing.T) {
	for digits, want := range map[string]time.Duration{
		"42a05ef39b200000": 9e12 * time.Millisecond, "c2a05ef39b200000": -9e12 * time.Millisecond,
	} {
		batch, err := NewDecoder(bytes.NewReader(unhex(t, "00000000"+digits+"0000000000000000"))).Next()
		require.NoError(t, err)
		require.Equal(t, want, batch.Now)
	}
	define := "19 00000022 0007 00000001 02" + strings.Repeat("0", 54)
	got, err := events(t, define, "1a 0000000b 02 0000000000000029 0007")
	require.NoError(t, err)
	require.Equal(t, []routing.Node{{State: 2}}, got[0].Nodes)
}

// A batch whose header claims too much, or has no time, is an error.
func TestBadBatchHeadersAreErrors(t *testing.T) {
	cases := map[string]struct{ header, want string }{
		"longest":   {"40000000 0000000000000000 00000000 00000000", "batch body of 1073741824 bytes, after 0: EOF"},
		"too long":  {"40000001 0000000000000000 00000000 00000000", "batch of 1073741825 bytes"},
		"odd times": {"00000000 7ff0000000000000 00000000 00000000", "time of +Inf ms"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := NewDecoder(bytes.NewReader(unhex(t, test.header))).Next()
			require.EqualError(t, err, test.want)
		})
	}
}
