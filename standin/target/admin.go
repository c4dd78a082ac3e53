package target

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// AdminHandler serves the switches and counters of all targets.
func (g *Group) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	g.handleAdmin(mux, "")
	return mux
}

// handleAdmin serves the switches and counters; with a worker, the status is
// that of its target only.
func (g *Group) handleAdmin(mux *http.ServeMux, worker string) {
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		statuses, err := g.Status(r.Context())
		statuses = slices.DeleteFunc(statuses, func(s Status) bool { return worker != "" && s.Worker != worker })
		reply(w, statuses, err)
	})
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, r *http.Request) {
		atLeast, _ := strconv.Atoi(r.URL.Query().Get("at_least")) // absent means all
		executions, err := g.Executions(r.Context(), atLeast)
		reply(w, executions, err)
	})
	mux.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		var request ControlRequest
		err := read(r, &request)
		if err == nil {
			err = g.takeControl(r, request)
		}
		reply(w, request, err)
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		request := FaultRequest{Worker: worker}
		err := read(r, &request)
		if err == nil {
			err = g.SetFaults(r.Context(), request.Worker, request.Faults)
		}
		reply(w, request, err)
	})
}

func (g *Group) takeControl(r *http.Request, request ControlRequest) error {
	var failures []error
	if request.Draining != nil {
		failures = append(failures, g.SetDraining(r.Context(), request.Worker, *request.Draining))
	}
	if request.Down != nil {
		failures = append(failures, g.SetDown(r.Context(), request.Worker, *request.Down))
	}
	return errors.Join(failures...)
}

func read(r *http.Request, request any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(request)
}

func reply(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a client that went away needs no answer
}
