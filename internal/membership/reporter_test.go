package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is said of databases is what is not plain, and where another says otherwise; it ends a while after.
func TestReporterPublishesWhatIsNotDefault(t *testing.T) {
	r := NewReporter(time.Minute)
	never := func(string) bool { return false }
	local := []LocalObservation{
		{Database: "a", State: Healthy},
		{Database: "b", State: Unresponsive},
		{Database: "c", State: Healthy, Primary: true, Position: now},
	}
	word := func(at time.Duration, database string, contested func(string) bool) (Observation, bool) {
		return ParseObservation(r.Report(at, local, contested)[Key{KindDatabase, database}])
	}
	_, said := word(now, "a", never)
	require.False(t, said, "plain")
	b, _ := word(now, "b", never)
	require.Equal(t, Observation{State: Unresponsive, Since: now.Milliseconds()}, b)
	b, _ = word(now+time.Second, "b", never)
	require.Equal(t, now.Milliseconds(), b.Since, "it stands")
	c, _ := word(now+time.Second, "c", never)
	ms := now.Milliseconds()
	require.Equal(t, Observation{State: Healthy, Primary: true, Since: ms, Position: ms}, c)
	local[1].State = Healthy
	b, _ = word(now+2*time.Second, "b", never)
	require.Equal(t, Observation{State: Healthy, Since: (now + 2*time.Second).Milliseconds()}, b, "it is taken back")
	_, said = word(now+62*time.Second, "b", never)
	require.False(t, said, "all have heard it")
	_, said = word(now+63*time.Second, "a", func(string) bool { return true })
	require.True(t, said, "another says otherwise")
	local = local[1:]
	_, said = word(now+64*time.Second, "a", never)
	require.False(t, said, "it is no more")
	for _, odd := range []string{"", "\x01\x00\x05", "\x09\x00\x05\x05", "\x01\x00\x00\x05", "\x01\x00\x80\x80"} {
		_, ok := ParseObservation([]byte(odd))
		require.False(t, ok, "%q", odd)
	}
	w := Observation{State: Failing, Cold: true, Primary: true, Since: 1 << 40, Position: 7}
	again, ok := ParseObservation(append(w.Append(nil), "more of a newer version"...))
	require.True(t, ok)
	require.Equal(t, w, again)
}
