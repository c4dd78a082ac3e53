// Package httpapi implements infra.Platform over HTTP, and defines the protocol
// that the client shares with the stand-in.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/infra"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// Client implements infra.Platform.
type Client struct {
	base string
	http *http.Client
	list atomic.Pointer[taggedList] // last list received with an entity tag
}

// taggedList is a VM list with its entity tag.
type taggedList struct {
	tag     string
	workers []infra.Worker
}

var _ infra.Platform = (*Client)(nil)

// New returns a client of the platform at the base URL. The context of each call
// sets its deadline.
func New(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{base: strings.TrimRight(baseURL, "/"), http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ListWorkers implements infra.Platform. Every process polls the whole list, so the
// request carries the entity tag of the last list: an unchanged list is not sent
// again, and a changed list is compressed if the platform supports it. Callers must
// not modify the list because it may be returned again.
func (c *Client) ListWorkers(ctx context.Context) ([]infra.Worker, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathWorkers, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", infra.ErrRejected, err)
	}
	last := c.list.Load()
	if last != nil {
		request.Header.Set("If-None-Match", last.tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && last != nil {
		return last.workers, nil
	}
	var workers []infra.Worker
	if err := decode(response, &workers); err != nil {
		return nil, err
	}
	if tag := response.Header.Get("ETag"); tag != "" {
		c.list.Store(&taggedList{tag, workers})
	}
	return workers, nil
}

// GetWorker implements infra.Platform.
func (c *Client) GetWorker(ctx context.Context, worker string) (infra.Worker, error) {
	var row infra.Worker
	err := c.do(ctx, http.MethodGet, PathWorkers+"/"+url.PathEscape(worker), nil, &row)
	return row, err
}

// Drain implements infra.Platform.
func (c *Client) Drain(ctx context.Context, worker, operation string) error {
	return c.post(ctx, PathDrain, WorkerRequest{Worker: worker, Operation: operation})
}

// Undrain implements infra.Platform.
func (c *Client) Undrain(ctx context.Context, worker, operation string) error {
	return c.post(ctx, PathUndrain, WorkerRequest{Worker: worker, Operation: operation})
}

// Reboot implements infra.Platform.
func (c *Client) Reboot(ctx context.Context, worker, operation string) error {
	return c.post(ctx, PathReboot, WorkerRequest{Worker: worker, Operation: operation})
}

// Assign implements infra.Platform.
func (c *Client) Assign(ctx context.Context, worker, pool, operation string) error {
	return c.post(ctx, PathAssign, WorkerRequest{Worker: worker, Operation: operation, Pool: pool})
}

// StartTask implements infra.Platform.
func (c *Client) StartTask(ctx context.Context, spec infra.TaskSpec) error {
	return c.post(ctx, PathTasks, spec)
}

// ListTasks implements infra.Platform.
func (c *Client) ListTasks(ctx context.Context) ([]infra.Task, error) {
	var tasks []infra.Task
	err := c.do(ctx, http.MethodGet, PathTasks, nil, &tasks)
	return tasks, err
}

// RenewTasks implements infra.Platform.
func (c *Client) RenewTasks(ctx context.Context, operations []string, lease time.Duration) error {
	return c.post(ctx, PathTasksRenew, RenewRequest{Operations: operations, Lease: lease})
}

// CheckpointTask implements infra.Platform.
func (c *Client) CheckpointTask(ctx context.Context, operation string) error {
	return c.post(ctx, PathTasksControl, TaskRequest{Operation: operation, Action: ActionCheckpoint})
}

// ThrottleTask implements infra.Platform.
func (c *Client) ThrottleTask(ctx context.Context, operation string, throttled bool) error {
	action := ActionUnthrottle
	if throttled {
		action = ActionThrottle
	}
	return c.post(ctx, PathTasksControl, TaskRequest{Operation: operation, Action: action})
}

// StopTask implements infra.Platform.
func (c *Client) StopTask(ctx context.Context, operation string) error {
	return c.post(ctx, PathTasksControl, TaskRequest{Operation: operation, Action: ActionStop})
}

func (c *Client) post(ctx context.Context, path string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: encode request: %w", infra.ErrRejected, err)
	}
	return c.do(ctx, http.MethodPost, path, body, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", infra.ErrRejected, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	defer response.Body.Close()
	return decode(response, answer)
}

// decode decodes a response with status 200 into answer, unless answer is nil, and
// returns an error for every other status.
func decode(response *http.Response, answer any) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", infra.ErrUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, content)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("%w: decode answer: %w", infra.ErrUnavailable, err)
	}
	return nil
}

func statusError(status int, content []byte) error {
	var body ErrorBody
	if json.Unmarshal(content, &body) != nil {
		body.Error = "response body is not JSON"
	}
	kind := infra.ErrUnavailable
	switch status {
	case http.StatusNotFound:
		kind = infra.ErrNotFound
	case http.StatusBadRequest, http.StatusConflict:
		kind = infra.ErrRejected
	}
	return errors.Newf("%w: status %d: %s", kind, status, body.Error)
}
