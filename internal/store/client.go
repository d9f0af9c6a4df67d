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
	"strconv"
	"strings"
	"sync"
	"time"
)

// Client calls the record at the addresses of some poolers' stores, for one that keeps none itself. All calls may wait.
type Client struct {
	http *http.Client
	wait time.Duration

	mu   sync.Mutex
	apis []string // the one that answered last goes first
}

// NewClient returns a client that gives a call up after so long. What a watch waits comes on top. From is the own address, so that
// others, and relays before them, can tell who it is; nil: any.
func NewClient(apis []string, wait time.Duration, from net.IP) *Client {
	return &Client{http: caller(from), wait: wait, apis: append([]string{}, apis...)}
}

// caller calls from an address.
func caller(from net.IP) *http.Client {
	d := &net.Dialer{}
	if from != nil {
		d.LocalAddr = &net.TCPAddr{IP: from}
	}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
}

// At are the addresses that it calls.
func (c *Client) At() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.apis...)
}

// Change makes a change. After an error it may have been applied or not, or may be yet: the same again, under the same id, tells.
func (c *Client) Change(ctx context.Context, change Change) (o Outcome, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/change", change, 0, &o)
	if err == nil && o.Error != "" {
		err = errors.New(o.Error)
	}
	return o, err
}

// Read returns the values of some names as of a moment between the call and its answer. A name that ends in "/" stands for all keys
// under it.
func (c *Client) Read(ctx context.Context, names ...string) (v Values, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/read", names, 0, &v)
	return v, err
}

// Watch returns what has become of the keys of a name since a revision, once there is something, or after so long. It may be
// behind what a majority holds, and tells only what a majority has agreed on.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (changes Changes, err error) {
	query := url.Values{"name": {name}, "after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	err = c.call(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil, wait, &changes)
	return changes, err
}

// call asks one store after the other until one answers.
func (c *Client) call(ctx context.Context, method, path string, body any, wait time.Duration, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c.mu.Lock()
	apis := append([]string{}, c.apis...)
	c.mu.Unlock()
	var failed []error
	for i, api := range apis {
		if err = c.one(ctx, method, "http://"+api+path, text, wait, into); err == nil {
			c.mu.Lock()
			if i > 0 && i < len(c.apis) && c.apis[i] == api {
				c.apis[0], c.apis[i] = c.apis[i], c.apis[0]
			}
			c.mu.Unlock()
			return nil
		}
		failed = append(failed, err)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(failed...)
}

func (c *Client) one(ctx context.Context, method, to string, body []byte, wait time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.wait+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(answer.Body, 200))
		return fmt.Errorf("%s: %s %s", to, answer.Status, strings.TrimSpace(string(why)))
	}
	return json.NewDecoder(answer.Body).Decode(into)
}
