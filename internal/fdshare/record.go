package fdshare

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strings"
)

// A claim's file holds two copies of the claim, each of a fixed size and with a checksum: one copy stays valid if the
// write of the other fails. A copy begins with the claim as JSON. Older versions, which write a single copy, read the
// first copy and skip the rest of the file after the JSON.
const (
	copies       = 2
	copySize     = 512
	checksumSize = len("00000000\n")
	bodySize     = copySize - checksumSize
)

// encode returns one copy of a claim.
func encode(c Claim) ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(text) > bodySize {
		return nil, fmt.Errorf("claim has %d bytes, at most %d fit", len(text), bodySize)
	}
	body := string(text) + strings.Repeat(" ", bodySize-len(text))
	return []byte(body + checksum([]byte(body))), nil
}

// checksum returns the checksum of a copy's body, as text.
func checksum(body []byte) string { return fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(body)) }

// decodeCopy returns the claim in a copy. valid is false if the copy is incomplete or damaged.
func decodeCopy(text []byte) (claim Claim, valid bool) {
	if len(text) < copySize || string(text[bodySize:copySize]) != checksum(text[:bodySize]) {
		return Claim{}, false
	}
	err := json.Unmarshal(text[:bodySize], &claim)
	return claim, err == nil
}

// decode returns the claim of a living process from the content of its file. Of two valid copies, the copy with the
// larger quota counts, because the process may use either quota while it changes between them. A file without a valid
// copy is one of:
//   - the file of an older version, which has one claim as JSON without a checksum;
//   - the file of a process that has not written a claim yet, which uses at most the reserve;
//   - a damaged file, for example after an incomplete write by an older version. It counts as the largest quota of one
//     process.
func decode(text []byte, grant int) Claim {
	var largest Claim
	found := false
	for i := range copies {
		claim, valid := decodeCopy(text[min(len(text), i*copySize):])
		if valid && (!found || claim.Quota > largest.Quota) {
			largest, found = claim, true
		}
	}
	if found {
		return largest
	}
	if len(text) == 0 || text[0] == 0 { // the first write of a process starts with the last copy
		return Claim{Quota: grant / reserveDivisor}
	}
	var old Claim
	if json.NewDecoder(bytes.NewReader(text)).Decode(&old) == nil && len(text) < copySize {
		return old
	}
	return Claim{Quota: grant - grant/reserveDivisor}
}
