package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A reporter publishes observations that differ from the default, and those that another pooler contests. An
// observation that has become the default again is published until the retention has passed.
func TestReporterPublishesNonDefaultObservations(t *testing.T) {
	reporter := NewReporter(time.Minute)
	never := func(string) bool { return false }
	local := []LocalObservation{
		{Database: "a", State: Healthy},
		{Database: "b", State: Unresponsive},
		{Database: "c", State: Healthy, Primary: true, Position: now},
	}
	observe := func(at time.Duration, database string, contested func(string) bool) (Observation, bool) {
		return ParseObservation(reporter.Report(at, local, contested)[Key{KindDatabase, database}])
	}
	_, published := observe(now, "a", never)
	require.False(t, published, "it is the default")
	unresponsive, _ := observe(now, "b", never)
	require.Equal(t, Observation{State: Unresponsive, Since: now.Milliseconds()}, unresponsive)
	unresponsive, _ = observe(now+time.Second, "b", never)
	require.Equal(t, now.Milliseconds(), unresponsive.Since, "it is unchanged")
	primary, _ := observe(now+time.Second, "c", never)
	ms := now.Milliseconds()
	require.Equal(t, Observation{State: Healthy, Primary: true, Since: ms, Position: ms}, primary)
	local[1].State = Healthy
	unresponsive, _ = observe(now+2*time.Second, "b", never)
	withdrawn := Observation{State: Healthy, Since: (now + 2*time.Second).Milliseconds()}
	require.Equal(t, withdrawn, unresponsive)
	_, published = observe(now+62*time.Second, "b", never)
	require.False(t, published, "the retention has passed")
	_, published = observe(now+63*time.Second, "a", func(string) bool { return true })
	require.True(t, published, "another pooler contests it")
	local = local[1:]
	_, published = observe(now+64*time.Second, "a", never)
	require.False(t, published, "the database is gone")
	for _, malformed := range []string{"", "\x01\x00\x05", "\x09\x00\x05\x05", "\x01\x00\x00\x05", "\x01\x00\x80\x80"} {
		_, ok := ParseObservation([]byte(malformed))
		require.False(t, ok, "%q", malformed)
	}
	original := Observation{State: Failing, Cold: true, Primary: true, Since: 1 << 40, Position: 7}
	parsed, ok := ParseObservation(append(original.Append(nil), "fields of a newer version"...))
	require.True(t, ok)
	require.Equal(t, original, parsed)
}
