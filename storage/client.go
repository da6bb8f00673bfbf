package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chervilhollow/gauge"
)

type (
	// Client is a Store that the platform serves by HTTP. It is safe for
	// concurrent use.
	Client struct {
		url      string
		timeout  time.Duration
		registry *gauge.Registry
		http     *http.Client
	}

	// ClientOption sets an option of NewClient.
	ClientOption func(*Client)
)

const (
	defaultTimeout     = time.Second
	idleConnections    = 64
	idleTimeout        = 30 * time.Second
	maxResponseBytes   = 256 << 20
	maxErrorBytes      = 4 << 10
	counterPrefix      = "depot.calls."
	counterUnavailable = "depot.unavailable"
	counterUncertain   = "depot.uncertain"
)

// WithTimeout sets how long a call may take; the default is one second. A watch
// may take longer by the time that it waits for changes.
func WithTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// WithRegistry sets the registry that counts the calls by kind, and those that
// failed. By default nothing is counted.
func WithRegistry(registry *gauge.Registry) ClientOption {
	return func(c *Client) { c.registry = registry }
}

// NewClient returns a client of the store at the base URL.
func NewClient(base string, opts ...ClientOption) *Client {
	transport := &http.Transport{
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	c := &Client{
		url:     strings.TrimSuffix(base, "/"),
		timeout: defaultTimeout,
		http:    &http.Client{Transport: transport},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes the idle connections. Calls in progress are not interrupted.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var answer entryDocument
	query := url.Values{"key": {key}}
	if err := c.read(ctx, CallGet, pathGet, query, 0, &answer); err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	return NewEntry(key, answer.Value, answer.Version), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Version, error) {
	var answer listDocument
	query := url.Values{"prefix": {prefix}}
	if err := c.read(ctx, CallList, pathList, query, 0, &answer); err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	entries := make([]Entry, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		entries = append(entries, NewEntry(e.Key, e.Value, e.Version))
	}
	return entries, answer.Version, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error) {
	if len(value) > MaxValue {
		return 0, fmt.Errorf("swap %s: %w", key, ErrValueTooLarge)
	}
	var answer versionDocument
	body := swapDocument{Key: key, Expected: expected, Value: value, Lease: lease}
	if err := c.write(ctx, CallSwap, pathSwap, body, &answer); err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	return answer.Version, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected Version) error {
	body := deleteDocument{Key: key, Expected: expected}
	if err := c.write(ctx, CallDelete, pathDelete, body, &struct{}{}); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error) {
	var answer watchDocument
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(int64(after), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if err := c.read(ctx, CallWatch, pathWatch, query, wait, &answer); err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	events := make([]Event, 0, len(answer.Events))
	for _, e := range answer.Events {
		events = append(events, NewEvent(NewEntry(e.Key, e.Value, e.Version), e.Deleted))
	}
	return events, answer.Version, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer leaseDocument
	body := grantDocument{TTLMillis: ttl.Milliseconds()}
	if err := c.write(ctx, CallGrant, pathGrant, body, &answer); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return answer.Lease, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	body := leaseDocument{Lease: lease}
	if err := c.write(ctx, CallKeepAlive, pathKeepAlive, body, &struct{}{}); err != nil {
		return fmt.Errorf("keep lease %d alive: %w", lease, err)
	}
	return nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	body := leaseDocument{Lease: lease}
	if err := c.write(ctx, CallRevoke, pathRevoke, body, &struct{}{}); err != nil {
		return fmt.Errorf("revoke lease %d: %w", lease, err)
	}
	return nil
}

func (c *Client) read(ctx context.Context, kind CallKind, path string, query url.Values, wait time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	target := c.url + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return c.do(kind, request, answer)
}

func (c *Client) write(ctx context.Context, kind CallKind, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request.Header.Set("Content-Type", "application/json")
	return c.do(kind, request, answer)
}

// do sends the request and decodes the answer. If a write fails, only an error
// answer of the store or an error before there was a connection proves that it
// had no effect.
func (c *Client) do(kind CallKind, request *http.Request, answer any) error {
	c.count(counterPrefix + string(kind))
	var sent atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), connTrace(&sent)))
	response, err := c.http.Do(request)
	if err != nil && !sent.Load() {
		return c.failed(ErrUnavailable, err)
	}
	if err != nil {
		return c.failed(lostError(kind), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return c.responseError(kind, response)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(answer); err != nil {
		return c.failed(lostError(kind), fmt.Errorf("read answer: %w", err))
	}
	return nil
}

// connTrace records whether the request may have been sent. The transport asks
// for a second connection only if it has sent nothing on the first one, or if
// the call is a read.
func connTrace(sent *atomic.Bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
}

// responseError returns the error that the answer names. An answer without a
// known name may come from a proxy between client and store, so it doesn't
// prove that a write had no effect.
func (c *Client) responseError(kind CallKind, response *http.Response) error {
	var document errorDocument
	body := io.LimitReader(response.Body, maxErrorBytes)
	if err := json.NewDecoder(body).Decode(&document); err != nil {
		return c.failed(lostError(kind), fmt.Errorf("answer %s", response.Status))
	}
	known, ok := protocolErrors[document.Error]
	if !ok {
		return c.failed(lostError(kind), fmt.Errorf("answer %s: %s", response.Status, document.Error))
	}
	if errors.Is(known, ErrUnavailable) {
		return c.failed(known, fmt.Errorf("answer %s", response.Status))
	}
	return known
}

// failed counts a failed call and returns its error. The class is
// ErrUnavailable or ErrUncertain.
func (c *Client) failed(class, cause error) error {
	if errors.Is(class, ErrUncertain) {
		c.count(counterUncertain)
	} else {
		c.count(counterUnavailable)
	}
	return fmt.Errorf("%w: %w", class, cause)
}

func (c *Client) count(name string) {
	if c.registry != nil {
		c.registry.Count(name)
	}
}
