package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

// TargetControl is how the platform reaches the targets on its workers. A drain
// is complete only when the target has taken it. target.Group implements it in
// process, HTTPTargetControl over HTTP.
type TargetControl interface {
	// SetDraining makes the target refuse new requests, or accept them again.
	SetDraining(ctx context.Context, worker string, draining bool) error
	// SetDown stops the target and cuts its connections, or starts it again.
	SetDown(ctx context.Context, worker string, down bool) error
	// InFlight returns the target's own count of requests in flight.
	InFlight(ctx context.Context, worker string) (int, error)
	// InFlightByWorker returns the counts of all targets.
	InFlightByWorker(ctx context.Context) (map[string]int, error)
}

// noTargets stands for workers without targets.
type noTargets struct{}

func (noTargets) SetDraining(context.Context, string, bool) error { return nil }
func (noTargets) SetDown(context.Context, string, bool) error     { return nil }
func (noTargets) InFlight(context.Context, string) (int, error)   { return 0, nil }

func (noTargets) InFlightByWorker(context.Context) (map[string]int, error) {
	return map[string]int{}, nil
}

// controlTimeout bounds one call to the targets' program.
const controlTimeout = 2 * time.Second

// HTTPTargetControl reaches targets that run in another process.
type HTTPTargetControl struct {
	base string
	http *http.Client
}

var _ TargetControl = (*HTTPTargetControl)(nil)

// NewHTTPTargetControl returns a control of the program whose administration
// address has the base URL.
func NewHTTPTargetControl(baseURL string) *HTTPTargetControl {
	return &HTTPTargetControl{
		base: strings.TrimRight(baseURL, "/"),
		http: &http.Client{Transport: &http.Transport{}, Timeout: controlTimeout},
	}
}

// Close closes idle connections.
func (c *HTTPTargetControl) Close() { c.http.CloseIdleConnections() }

// SetDraining implements TargetControl.
func (c *HTTPTargetControl) SetDraining(ctx context.Context, worker string, draining bool) error {
	return c.do(ctx, http.MethodPost, target.PathControl, target.ControlRequest{Worker: worker, Draining: &draining}, nil)
}

// SetDown implements TargetControl.
func (c *HTTPTargetControl) SetDown(ctx context.Context, worker string, down bool) error {
	return c.do(ctx, http.MethodPost, target.PathControl, target.ControlRequest{Worker: worker, Down: &down}, nil)
}

// InFlight implements TargetControl.
func (c *HTTPTargetControl) InFlight(ctx context.Context, worker string) (int, error) {
	counts, err := c.InFlightByWorker(ctx)
	if err != nil {
		return 0, err
	}
	count, known := counts[worker]
	if !known {
		return 0, errors.Newf("no target on worker %s", worker)
	}
	return count, nil
}

// InFlightByWorker implements TargetControl.
func (c *HTTPTargetControl) InFlightByWorker(ctx context.Context) (map[string]int, error) {
	var statuses []target.Status
	if err := c.do(ctx, http.MethodGet, target.PathStatus, nil, &statuses); err != nil {
		return nil, err
	}
	counts := make(map[string]int, len(statuses))
	for _, status := range statuses {
		counts[status.Worker] = status.InFlight
	}
	return counts, nil
}

func (c *HTTPTargetControl) do(ctx context.Context, method, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	call, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", path, response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}
