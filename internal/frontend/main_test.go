package frontend_test

import (
	"testing"

	"capercove/internal/testbed"
)

// postgresFront is the name of the PostgreSQL frontend in the counters of requests.
const postgresFront = "postgres"

func TestMain(m *testing.M) { testbed.Main(m) }
