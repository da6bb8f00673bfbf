package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chervilhollow/order"
)

type (
	// Client calls one worker. It is safe for concurrent use.
	Client struct {
		worker order.WorkerID
		base   string
		http   *http.Client
	}

	// checkedBody is a request body that runs a check before each read. The
	// transport reads the body after it has a connection and directly before
	// it writes. If the check fails the request stays incomplete, so the
	// worker doesn't act on it.
	checkedBody struct {
		data   *bytes.Reader
		check  func() error
		failed error
	}
)

const (
	callTimeout        = time.Second
	maxResponseBytes   = 64 << 20
	maxConnections     = 8
	maxIdleConnections = 4
	idleTimeout        = 90 * time.Second
)

// NewClient returns a client for the worker at the base URL. Its outcomes name
// the worker ID.
func NewClient(worker order.WorkerID, base string) *Client {
	return &Client{
		worker: worker,
		base:   base,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         newDialer().DialContext,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		}},
	}
}

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: callTimeout, Control: setUserTimeout}
}

// Close closes the idle connections. Calls in progress are not interrupted.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Start starts a task and returns the worker's clock. The check runs directly
// before the request is written, and its error is returned, wrapped with
// ErrNotSent. A nil check always passes. A start that the worker has already
// executed succeeds again and has no further effect.
func (c *Client) Start(ctx context.Context, s StartRequest, check func() error) (Stamp, error) {
	body, err := s.wire()
	if err != nil {
		return Stamp{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var answer startedWire
	err = c.call(ctx, http.MethodPost, "/v1/tasks", body, &answer, check)
	return answer.Stamp.stamp(), err
}

// Tasks lists all tasks and retained outcomes. A worker with fencing support
// refuses calls with a lower epoch from then on.
func (c *Client) Tasks(ctx context.Context, epoch order.Epoch) (Listing, error) {
	var answer listingWire
	path := fmt.Sprintf("/v1/tasks?epoch=%d", epoch)
	if err := c.call(ctx, http.MethodGet, path, nil, &answer, nil); err != nil {
		return Listing{}, err
	}
	var running []RunningTask
	for _, w := range answer.Running {
		r, err := w.running()
		if err != nil {
			return Listing{}, err
		}
		running = append(running, r)
	}
	outcomes, err := outcomesFrom(answer.Outcomes, c.worker)
	return NewListing(answer.Stamp.stamp(), running, outcomes), err
}

// Renew extends the leases of the attempts, so that they end at the given time
// after the stamp. The check is used as in Start.
func (c *Client) Renew(ctx context.Context, epoch order.Epoch, lease time.Duration, asOf Stamp, refs []AttemptRef, check func() error) (Renewal, error) {
	body := renewWire{Epoch: epoch, Lease: lease.Milliseconds(), AsOf: asOf.wire(), Tasks: refsWire(refs)}
	var answer renewalWire
	err := c.call(ctx, http.MethodPost, "/v1/renew", body, &answer, check)
	return NewRenewal(answer.Stamp.stamp(), refsFrom(answer.Unknown)), err
}

// Events returns the outcomes after the position. It waits up to the given time
// for one, and may return none.
func (c *Client) Events(ctx context.Context, after uint64, wait time.Duration) (Events, error) {
	var answer eventsWire
	path := fmt.Sprintf("/v1/events?after=%d&wait_ms=%d", after, wait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if err := c.exchange(ctx, http.MethodGet, path, nil, &answer, nil); err != nil {
		return Events{}, err
	}
	outcomes, err := outcomesFrom(answer.Outcomes, c.worker)
	return NewEvents(answer.Stamp.stamp(), answer.Next, outcomes), err
}

// Ack acknowledges the outcomes of the attempts, so that the worker deletes
// them.
func (c *Client) Ack(ctx context.Context, refs []AttemptRef) error {
	return c.call(ctx, http.MethodPost, "/v1/ack", ackWire{Tasks: refsWire(refs)}, nil, nil)
}

// Stop ends a running task. Its outcome arrives as an event.
func (c *Client) Stop(ctx context.Context, epoch order.Epoch, ref AttemptRef) error {
	return c.control(ctx, "stop", epoch, ref, 0)
}

// Checkpoint saves the state of a running task and ends it. Its outcome arrives
// as an event.
func (c *Client) Checkpoint(ctx context.Context, epoch order.Epoch, ref AttemptRef) error {
	return c.control(ctx, "checkpoint", epoch, ref, 0)
}

// Throttle limits a running task to a percentage of its reserved size.
func (c *Client) Throttle(ctx context.Context, epoch order.Epoch, ref AttemptRef, percent int) error {
	return c.control(ctx, "throttle", epoch, ref, percent)
}

// Usage returns the measured resource usage of the running tasks. The worker
// measures periodically, so the values lag.
func (c *Client) Usage(ctx context.Context) ([]TaskUsage, error) {
	var answer usageWire
	if err := c.call(ctx, http.MethodGet, "/v1/usage", nil, &answer, nil); err != nil {
		return nil, err
	}
	uses := make([]TaskUsage, 0, len(answer.Tasks))
	for _, w := range answer.Tasks {
		uses = append(uses, NewTaskUsage(w.ref(), w.Used.resources()))
	}
	return uses, nil
}

func (c *Client) control(ctx context.Context, verb string, epoch order.Epoch, ref AttemptRef, percent int) error {
	path := "/v1/tasks/" + url.PathEscape(string(ref.task)) + "/" + verb
	body := controlWire{Attempt: ref.attempt, Epoch: epoch, Percent: percent}
	return c.call(ctx, http.MethodPost, path, body, nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.exchange(ctx, method, path, body, answer, check)
}

// exchange sends one request and decodes the answer. The error wraps
// ErrNotSent or ErrUncertain, or is a *RefusedError.
func (c *Client) exchange(ctx context.Context, method, path string, body, answer any, check func() error) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, checked, err := c.request(ctx, method, path, body, check)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := c.http.Do(req)
	switch {
	case err != nil && !connected.Load():
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil && errors.Is(err, errCheckFailed):
		return fmt.Errorf("%w: %w", ErrNotSent, checked.failed)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	defer resp.Body.Close()
	return readAnswer(resp, answer)
}

func (c *Client) request(ctx context.Context, method, path string, body any, check func() error) (*http.Request, *checkedBody, error) {
	if body == nil {
		req, err := http.NewRequestWithContext(ctx, method, c.base+path, http.NoBody)
		return req, nil, err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	checked := &checkedBody{data: bytes.NewReader(data), check: check}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, checked)
	if err != nil {
		return nil, nil, err
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	return req, checked, nil
}

var errCheckFailed = errors.New("check before the write failed")

// Read implements io.Reader. It fails if the check does.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.check != nil && b.data.Len() > 0 {
		if err := b.check(); err != nil {
			b.failed = err
			return 0, errCheckFailed
		}
	}
	return b.data.Read(p)
}

// Close implements io.Closer.
func (b *checkedBody) Close() error { return nil }

// readAnswer decodes the answer, or returns the refusal that it holds.
func readAnswer(resp *http.Response, answer any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	if resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusTooManyRequests {
		var refusal refusalWire
		if err := json.Unmarshal(data, &refusal); err != nil {
			return fmt.Errorf("%w: refusal: %w", ErrUncertain, err)
		}
		return NewRefusedError(refusal.Reason)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUncertain, resp.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return nil
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(TCPUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
