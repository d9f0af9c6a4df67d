package main

import (
	"bytes"
	"encoding/hex"
	"testing"
)

func TestRun(t *testing.T) {
	empty, _ := hex.DecodeString("0000000040c06e20000000000000000000000001")
	reply, _ := hex.DecodeString("000000000000000000000001")
	var out bytes.Buffer
	if err := run(bytes.NewReader(empty), &out); err != nil || !bytes.Equal(out.Bytes(), reply) {
		t.Fatalf("empty batch: %x, %v, want %x", out.Bytes(), err, reply)
	}
	for _, n := range []int{3, 19} {
		if err := run(bytes.NewReader(empty[:n]), &out); err == nil {
			t.Errorf("input cut after %d bytes: no error", n)
		}
	}
}
