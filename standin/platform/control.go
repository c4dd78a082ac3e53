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

// TargetControl controls the targets on the platform's workers. A drain is
// complete only when the target has confirmed it. target.Group implements it in
// process, HTTPTargetControl over HTTP.
type TargetControl interface {
	// SetDraining makes the target refuse new requests, or accept them again.
	SetDraining(ctx context.Context, worker string, draining bool) error
	// SetDown stops the target and closes its connections, or restarts it.
	SetDown(ctx context.Context, worker string, down bool) error
	// InFlight returns the number of requests in flight as counted by the target.
	InFlight(ctx context.Context, worker string) (int, error)
	// InFlightByWorker returns the number of requests in flight of every target.
	InFlightByWorker(ctx context.Context) (map[string]int, error)
}

// noTargets is the TargetControl of a fleet without targets.
type noTargets struct{}

func (noTargets) SetDraining(context.Context, string, bool) error { return nil }
func (noTargets) SetDown(context.Context, string, bool) error     { return nil }
func (noTargets) InFlight(context.Context, string) (int, error)   { return 0, nil }

func (noTargets) InFlightByWorker(context.Context) (map[string]int, error) {
	return map[string]int{}, nil
}

// controlTimeout limits one call of a TargetControl.
const controlTimeout = 2 * time.Second

// HTTPTargetControl controls targets that run in another process.
type HTTPTargetControl struct {
	baseURL string
	client  *http.Client
}

var _ TargetControl = (*HTTPTargetControl)(nil)

// NewHTTPTargetControl returns a control for the targets of the process with the
// given administration base URL.
func NewHTTPTargetControl(baseURL string) *HTTPTargetControl {
	return &HTTPTargetControl{
		baseURL: strings.TrimRight(baseURL, "/"),
		client:  &http.Client{Transport: &http.Transport{}, Timeout: controlTimeout},
	}
}

// Close closes idle connections.
func (c *HTTPTargetControl) Close() { c.client.CloseIdleConnections() }

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
	call, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.client.Do(call)
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
