package eventloop

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A fatal log line of gnet is logged as an error, and does not end the process.
func TestFatalLineIsLoggedAsAnError(t *testing.T) {
	var lines bytes.Buffer
	gnetLogger{zerolog.New(&lines)}.Fatalf("accept: %s", "no descriptor")
	require.JSONEq(t, `{"level":"error","message":"accept: no descriptor"}`, lines.String())
}
