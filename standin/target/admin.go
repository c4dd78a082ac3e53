package target

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// AdminHandler returns the handler of the control, fault and counter endpoints of all
// targets.
func (g *Group) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	g.handleAdmin(mux, "")
	return mux
}

// handleAdmin registers the administration endpoints. If worker is set, the
// status is limited to its target, and faults apply to it by default.
func (g *Group) handleAdmin(mux *http.ServeMux, worker string) {
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		statuses, err := g.Status(r.Context())
		statuses = slices.DeleteFunc(statuses, func(s Status) bool { return worker != "" && s.Worker != worker })
		writeReply(w, statuses, err)
	})
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, r *http.Request) {
		atLeast, _ := strconv.Atoi(r.URL.Query().Get("at_least")) // 0 if absent: all executions
		executions, err := g.Executions(r.Context(), atLeast)
		writeReply(w, executions, err)
	})
	mux.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		var request ControlRequest
		err := decodeRequest(r, &request)
		if err == nil {
			err = g.applyControl(r, request)
		}
		writeReply(w, request, err)
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		request := FaultRequest{Worker: worker}
		err := decodeRequest(r, &request)
		if err == nil {
			err = g.SetFaults(r.Context(), request.Worker, request.Faults)
		}
		writeReply(w, request, err)
	})
}

func (g *Group) applyControl(r *http.Request, request ControlRequest) error {
	var failures []error
	if request.Draining != nil {
		failures = append(failures, g.SetDraining(r.Context(), request.Worker, *request.Draining))
	}
	if request.Down != nil {
		failures = append(failures, g.SetDown(r.Context(), request.Worker, *request.Down))
	}
	return errors.Join(failures...)
}

func decodeRequest(r *http.Request, request any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(request)
}

func writeReply(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a write error means that the client disconnected
}
