package testbed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
)

// maxReplyBytes bounds each buffer that a client has for a reply.
const maxReplyBytes = 8 << 20

// The user and database of clients.
const (
	clientUser     = "client"
	clientDatabase = "core"
)

// errRejected says that the program answered a startup with an error.
var errRejected = errors.New("the startup was rejected")

// Statement returns a new statement of a class with its comment: a new ID and the time that the client waits. The key
// is part of the text, so that words in it choose what databases do, see Database.
func (b *Bed) Statement(class, key string, wait time.Duration) string {
	b.statementID++
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%08x,c=%s,d=%d,cluster=3 */",
		key, b.statementID, class, wait.Milliseconds())
}

// Query returns a statement as clients send it.
func Query(sql string) []byte { return pg.AppendQuery(nil, sql) }

// Client is a client on the PostgreSQL wire.
type Client struct {
	net.Conn
	t       *testing.T
	started bool
	unread  []byte        // received, but behind the last reply
	timeout time.Duration // of the wait for a reply; 0: Timeout
}

// Dial connects and sends nothing.
func (b *Bed) Dial() net.Conn {
	b.T.Helper()
	connection, err := b.dial(0)
	require.NoError(b.T, err)
	b.T.Cleanup(func() { _ = connection.Close() })
	return connection
}

// dial connects within a timeout; 0: without one.
func (b *Bed) dial(timeout time.Duration) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", b.Addr)
}

// Client connects and starts, which must succeed.
func (b *Bed) Client() *Client {
	b.T.Helper()
	client := &Client{Conn: b.Dial(), t: b.T}
	client.Send(startup())
	require.Empty(b.T, client.Next().Code)
	return client
}

func startup() []byte { return pg.AppendStartup(nil, clientUser, clientDatabase) }

// start sends a startup and reads its reply. The error is errRejected if the program answers with one.
func (c *Client) start() error {
	_, _ = c.Write(startup()) // if the program has closed the connection, the reply is missing
	reply, err := c.next()
	if err != nil {
		return err
	}
	if reply.Code != "" {
		return errRejected
	}
	return nil
}

// TryClient connects and starts, and returns whether that succeeded: it fails if the program closes the connection or
// rejects it.
func (b *Bed) TryClient() (client *Client, started bool) {
	b.T.Helper()
	client = &Client{Conn: b.Dial(), t: b.T}
	err := client.start()
	return client, err == nil
}

// TryDial connects and starts, and returns whether that succeeded within a time. It may be called from any goroutine,
// also while the program does not run. The caller closes the client's connection.
func (b *Bed) TryDial(within time.Duration) (client *Client, started bool) {
	connection, err := b.dial(within)
	if err != nil {
		return nil, false
	}
	client = &Client{Conn: connection, t: b.T, timeout: within}
	if err := client.start(); err != nil {
		_ = connection.Close()
		return nil, false
	}
	client.timeout = 0
	return client, true
}

// Send writes bytes.
func (c *Client) Send(message []byte) {
	c.t.Helper()
	_, err := c.Write(message)
	require.NoError(c.t, err)
}

// Next reads the next reply.
func (c *Client) Next() pg.Reply {
	c.t.Helper()
	reply, err := c.next()
	require.NoError(c.t, err)
	return reply
}

// TryNext is Next for a connection that may end. It may be called from any goroutine.
func (c *Client) TryNext(within time.Duration) (pg.Reply, error) {
	c.timeout = within
	return c.next()
}

// next reads the next reply.
func (c *Client) next() (pg.Reply, error) {
	link := pg.NewLink(maxReplyBytes, maxReplyBytes, maxReplyBytes)
	if c.started { // for the link, the reply to the startup ends with the first ReadyForQuery
		link.SkipStartup()
	}
	buffer := make([]byte, readBufferSize)
	for {
		reply, complete, err := c.feed(link)
		if complete || err != nil {
			return reply, err
		}
		deadline := time.Now().Add(cmp.Or(c.timeout, Timeout))
		if err := c.SetReadDeadline(deadline); err != nil {
			return pg.Reply{}, err
		}
		length, err := c.Read(buffer)
		if err != nil {
			return pg.Reply{}, err
		}
		c.unread = buffer[:length]
	}
}

// feed gives a link what was received, up to the end of a reply. It goes byte by byte, since a link rejects what
// follows a reply.
func (c *Client) feed(link *pg.Link) (reply pg.Reply, complete bool, err error) {
	for i := range c.unread {
		reply, complete, err = link.Feed(c.unread[i : i+1])
		if err != nil {
			return reply, false, err
		}
		if complete {
			c.unread, c.started = c.unread[i+1:], true
			return reply, true, nil
		}
	}
	return pg.Reply{}, false, nil
}

// Rest reads everything behind the last reply, up to the end of the connection.
func (c *Client) Rest() ([]byte, error) {
	if err := c.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		return nil, err
	}
	rest, err := io.ReadAll(c.Conn)
	return append(c.unread, rest...), err
}

// Ask sends a statement and reads its reply.
func (c *Client) Ask(sql string) pg.Reply {
	c.t.Helper()
	c.Send(Query(sql))
	return c.Next()
}

// Try sends a statement on a new connection, and returns whether a reply came, with a timeout for each wait. It may be
// called from any goroutine.
func (b *Bed) Try(sql string, within time.Duration) (reply pg.Reply, answered bool) {
	client, started := b.TryDial(within)
	if !started {
		return pg.Reply{}, false
	}
	defer func() { _ = client.Close() }()
	client.timeout = within
	reply, err := client.tryQuery(sql)
	return reply, err == nil
}

// AskWithRetry sends a statement on a new connection, and once more on another if the program closes the first, as a
// program that shuts down may do between requests.
func (b *Bed) AskWithRetry(sql string) pg.Reply {
	b.T.Helper()
	if client, started := b.TryClient(); started {
		if reply, err := client.tryQuery(sql); err == nil {
			return reply
		}
	}
	return b.Client().Ask(sql)
}

// tryQuery sends a statement and reads its reply, on a connection that may end.
func (c *Client) tryQuery(sql string) (pg.Reply, error) {
	_, _ = c.Write(Query(sql)) // if the program has closed the connection, the reply is missing
	return c.next()
}
