package testbed

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"
)

// Call sends a request to the operators' address and returns the status and body of the response, or 0 and the error's
// text if there is none.
func (b *Bed) Call(method, path string) (code int, body string) {
	b.T.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+b.Management+path, nil)
	require.NoError(b.T, err)
	request.Close = true
	response, err := (&http.Client{Timeout: Timeout}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(b.T, err)
	return response.StatusCode, string(text)
}

// CallAgain is Call with retries, for up to Timeout, while the response is 503.
func (b *Bed) CallAgain(method, path string) (code int, body string) {
	b.T.Helper()
	deadline := time.Now().Add(Timeout)
	for {
		code, body = b.Call(method, path)
		if code != http.StatusServiceUnavailable || time.Now().After(deadline) {
			return code, body
		}
	}
}

// SetExcluded excludes a database, or includes it again.
func (b *Bed) SetExcluded(name string, excluded bool) {
	b.T.Helper()
	path := "/api/include/" + name
	if excluded {
		path = "/api/exclude/" + name
	}
	code, body := b.CallAgain(http.MethodPut, path)
	require.Equal(b.T, http.StatusOK, code, "%s: %s", path, body)
}
