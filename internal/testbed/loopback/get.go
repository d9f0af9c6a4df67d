package loopback

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// GetStatus returns the status of the answer to a GET request that a server at a listener's address is sent.
func GetStatus(t *testing.T, listener net.Listener, path string) int {
	t.Helper()
	url := "http://" + listener.Addr().String() + path
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}
