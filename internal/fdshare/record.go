package fdshare

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strings"
)

// A claim's file holds two copies of the claim, each of a fixed size with a checksum, so that one stands whole whatever becomes
// of the write of the other. A copy begins with the claim as JSON: versions that know one copy only read the first, and skip
// what follows the JSON.
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
		return nil, fmt.Errorf("a claim of %d bytes, %d at most", len(text), bodySize)
	}
	body := string(text) + strings.Repeat(" ", bodySize-len(text))
	return []byte(body + checksum([]byte(body))), nil
}

func checksum(body []byte) string { return fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(body)) }

// decodeCopy returns the claim of one copy, and false where it is not whole.
func decodeCopy(text []byte) (c Claim, whole bool) {
	if len(text) < copySize || string(text[bodySize:copySize]) != checksum(text[:bodySize]) {
		return Claim{}, false
	}
	return c, json.Unmarshal(text[:bodySize], &c) == nil
}

// decode returns what a living process whose file holds the text may have open at the most. Of two whole copies the larger
// counts: the process goes from one to the other. A file without a whole copy is one of
//   - an older version's, which holds one claim as JSON and no checksum;
//   - a process's that has not been able to write yet: it uses the spare part at the most;
//   - damaged, as by an older version whose write failed half way: all that one process may ever take counts.
func decode(text []byte, grant int) Claim {
	var largest Claim
	found := false
	for i := range copies {
		c, whole := decodeCopy(text[min(len(text), i*copySize):])
		if whole && (!found || c.Takes > largest.Takes) {
			largest, found = c, true
		}
	}
	if found {
		return largest
	}
	if len(text) == 0 || text[0] == 0 { // copies are first written from the last to the first
		return Claim{Takes: grant / spare}
	}
	var old Claim
	if json.NewDecoder(bytes.NewReader(text)).Decode(&old) == nil && len(text) < copySize {
		return old
	}
	return Claim{Takes: grant - grant/spare}
}
