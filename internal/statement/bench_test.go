package statement

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// texts are statements of about so many bytes.
func texts(size int) map[string]string {
	value := func(n int) string { return strings.Repeat("7f3a9c21", n/8+1)[:n] }
	many := "SELECT a.x, lower(b.y), count(*) FROM t a JOIN u b ON a.i = b.i WHERE a.z IN ("
	for i := 0; len(many) < size-60; i++ {
		many += fmt.Sprintf("%d, ", i)
	}
	many += "0) GROUP BY 1, 2 ORDER BY 3"
	return map[string]string{"one value": "SELECT val FROM state WHERE uid = '" + value(max(8, size-60)) + "'", "many tokens": many}
}

func BenchmarkRead(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000, 256 << 10} {
		for name, sql := range texts(size) {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				a, c := New(&Rules{}), NewFingerprints(1<<20, 1)
				b.SetBytes(int64(len(sql)))
				b.ReportAllocs()
				for range b.N {
					info := a.Read(sql)
					c.Get(a.Fingerprint(), &info)
				}
			})
		}
	}
}

// TestMeasure writes the tables of docs/measured/statements.md, if CAPERCOVE_MEASURE names that file.
func TestMeasure(t *testing.T) {
	path := os.Getenv("CAPERCOVE_MEASURE")
	if path == "" {
		t.Skip("CAPERCOVE_MEASURE names no file")
	}
	var out strings.Builder
	out.WriteString("# Reading statements, measured\n\nMade again by `CAPERCOVE_MEASURE=$PWD/docs/measured/statements.md go test -count=1 -run TestMeasure ./internal/statement`.\n\n" +
		"## Time to read a statement and look its shape up\n\n| text | bytes | p50 us | p99 us | p99.9 us |\n| --- | --- | --- | --- | --- |\n")
	for _, size := range []int{100, 1000, 10_000, 256 << 10} {
		all := texts(size)
		for _, name := range []string{"one value", "many tokens"} {
			a, c := New(&Rules{}), NewFingerprints(1<<20, 1)
			n := 20_000
			if size > 10_000 {
				n = 2000
			}
			took := make([]time.Duration, n)
			for i := range took {
				begun := time.Now()
				info := a.Read(all[name])
				c.Get(a.Fingerprint(), &info)
				took[i] = time.Since(begun)
			}
			slices.Sort(took)
			us := func(q float64) float64 { return float64(took[int(q*float64(n-1))].Nanoseconds()) / 1000 }
			fmt.Fprintf(&out, "| %s | %d | %.2f | %.2f | %.2f |\n", name, len(all[name]), us(0.5), us(0.99), us(0.999))
		}
	}
	out.WriteString("\n## A hundred useful shapes in a flood\n\nThe cache holds 256 KiB. For each useful statement come so many of shapes of their own, a tenth of them twice.\n\n" +
		"| flood for each | distinct shapes | hits of the useful | bytes held |\n| --- | --- | --- | --- |\n")
	for _, flood := range []int{0, 1, 10, 50} {
		hits, distinct, bytes := floodOf(flood)
		fmt.Fprintf(&out, "| %d | %d | %.3f | %d |\n", flood, distinct, hits, bytes)
	}
	out.WriteString("\n## Error of the cost estimate\n\nTwenty shapes of one class, typically 5 to 500 ms, deviation 0.2 of the logarithm, one call in twenty 20 times as long,\n" +
		"0 to 4 others at the database, each of which adds a tenth; 200 calls a shape. Mean of |estimate / true - 1|.\n\n| estimate | error |\n| --- | --- |\n")
	fingerprint, class := costErrors()
	fmt.Fprintf(&out, "| by shape | %.2f |\n| mean of the class | %.2f |\n", fingerprint, class)
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
