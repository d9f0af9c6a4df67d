package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Client calls the HTTP API of other poolers' stores, for a process without a store. Its calls block. It is safe for
// concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration

	mu   sync.Mutex
	apis []string // addresses; the store that answered most recently comes first
}

// NewClient returns a client of the stores whose HTTP APIs have the given addresses. The timeout bounds each call of
// one store; a watch adds its wait. Source is the IP address to dial from, by which stores, and relays in front of
// them, identify this process. nil means any address.
func NewClient(apis []string, timeout time.Duration, source net.IP) *Client {
	return &Client{http: newHTTPClient(source), timeout: timeout, apis: append([]string{}, apis...)}
}

// Bounds of the idle connections of an HTTP client.
const (
	idleHTTPConnections = 4
	idleHTTPTimeout     = 30 * time.Second
)

// maxStoreErrorBytes bounds the text of a store's error that is returned to the caller, in bytes.
const maxStoreErrorBytes = 200

// newHTTPClient returns an HTTP client that dials from a source address, or from any if it is nil.
func newHTTPClient(source net.IP) *http.Client {
	dialer := &net.Dialer{}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleHTTPConnections,
		IdleConnTimeout:     idleHTTPTimeout,
	}}
}

// Addresses returns the HTTP API addresses of the stores. The store that answered most recently comes first.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.apis)
}

// Change applies a change. After an error the change may have been applied or may be applied later. Repeating it with
// the same ID is safe.
func (c *Client) Change(ctx context.Context, change Change) (outcome Outcome, err error) {
	err = c.call(ctx, http.MethodPost, changePath, change, 0, &outcome)
	if err == nil && outcome.Error != "" {
		err = errors.New(outcome.Error)
	}
	return outcome, err
}

// Read is a linearizable read: it returns the values of some names at a moment between the call and its answer. A name
// that ends in "/" means all keys that begin with it.
func (c *Client) Read(ctx context.Context, names ...string) (values Values, err error) {
	err = c.call(ctx, http.MethodPost, readPath, names, 0, &values)
	return values, err
}

// Watch waits for changes of the keys that match a name, after a revision. It returns as soon as there is a change, or
// after the wait. All changes returned are committed, but the latest committed ones may be missing, as the answering
// store may lag behind the leader.
func (c *Client) Watch(
	ctx context.Context, name string, after uint64, wait time.Duration,
) (changes Changes, err error) {
	query := url.Values{
		"name":    {name},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err = c.call(ctx, http.MethodGet, watchPath+"?"+query.Encode(), nil, wait, &changes)
	return changes, err
}

// call calls the stores in turn until a call succeeds. Its error joins those of all stores that it called.
func (c *Client) call(ctx context.Context, method, path string, body any, wait time.Duration, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c.mu.Lock()
	apis := slices.Clone(c.apis)
	c.mu.Unlock()
	var failures []error
	for i, api := range apis {
		if err = c.callOne(ctx, method, "http://"+api+path, text, wait, into); err == nil {
			c.moveToFront(i, api)
			return nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(failures...)
}

// moveToFront moves a store that has answered to the front, unless another call has reordered the stores meanwhile.
func (c *Client) moveToFront(i int, api string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i > 0 && i < len(c.apis) && c.apis[i] == api {
		c.apis[0], c.apis[i] = c.apis[i], c.apis[0]
	}
}

// callOne makes one HTTP call and decodes the JSON answer. The wait is added to the timeout.
func (c *Client) callOne(ctx context.Context, method, address string, body []byte, wait time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // only read: no data can be lost
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxStoreErrorBytes))
		return fmt.Errorf("%s: %s %s", address, response.Status, strings.TrimSpace(string(reason)))
	}
	return json.NewDecoder(response.Body).Decode(into)
}
