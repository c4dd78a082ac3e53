package platform

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/infra/httpapi"
)

const maxAPIBody = 1 << 20

func (s *Server) handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET "+httpapi.PathWorkers, s.listWorkers)
	api.HandleFunc("GET "+httpapi.PathWorkers+"/{id}", s.getWorker)
	api.HandleFunc("GET "+httpapi.PathTasks, s.listTasks)
	kinds := map[string]requestKind{
		httpapi.PathDrain: requestDrain, httpapi.PathUndrain: requestUndrain,
		httpapi.PathReboot: requestReboot, httpapi.PathAssign: requestAssign,
	}
	for path, kind := range kinds {
		handleMutation(s, api, path, func(body httpapi.WorkerRequest) *request { return &request{kind: kind, worker: body} })
	}
	handleMutation(s, api, httpapi.PathTasks, func(body infra.TaskSpec) *request {
		return &request{kind: requestStart, spec: body}
	})
	handleMutation(s, api, httpapi.PathTasksRenew, func(body httpapi.RenewRequest) *request {
		return &request{kind: requestRenew, renew: body}
	})
	handleMutation(s, api, httpapi.PathTasksControl, func(body httpapi.TaskRequest) *request {
		return &request{kind: requestControl, task: body}
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.abortWhileDown(api))
	s.handleAdmin(mux)
	return mux
}

// abortWhileDown closes the connection without a response while the fault
// PlatformDown is set.
func (s *Server) abortWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.faults.Load().PlatformDown {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// handleMutation registers a mutating call. While the fault PlatformLoseAnswers is
// set, it closes the connection without a response after the call took effect.
func handleMutation[B any](s *Server, mux *http.ServeMux, path string, build func(B) *request) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var body B
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAPIBody)).Decode(&body); err != nil {
			writeAPIError(w, rejected("body: %v", err))
			return
		}
		_, err := s.call(r.Context(), build(body))
		if s.faults.Load().PlatformLoseAnswers {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeAPIError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

func writeAPIError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, infra.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, infra.ErrRejected):
		status = http.StatusConflict
	}
	writeJSON(w, status, httpapi.ErrorBody{Error: err.Error()})
}

// listWorkers supports conditional requests by an ETag of the list and compresses
// the list for clients that accept gzip.
func (s *Server) listWorkers(w http.ResponseWriter, r *http.Request) {
	answer, err := s.call(r.Context(), &request{kind: requestList})
	if err != nil {
		writeAPIError(w, err)
		return
	}
	body, err := json.Marshal(answer.workers)
	if err != nil {
		writeAPIError(w, err)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	w.Header().Set("Vary", "Accept-Encoding")
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body) // a write error means that the client disconnected
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(body)
	_ = compressed.Close()
}

func (s *Server) listTasks(w http.ResponseWriter, r *http.Request) {
	answer, err := s.call(r.Context(), &request{kind: requestTasks})
	if err != nil {
		writeAPIError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer.tasks)
}

func (s *Server) getWorker(w http.ResponseWriter, r *http.Request) {
	answer, err := s.call(r.Context(), &request{kind: requestGet, worker: httpapi.WorkerRequest{Worker: r.PathValue("id")}})
	if err != nil {
		writeAPIError(w, err)
		return
	}
	worker := answer.workers[0]
	// The count is read after the status: a draining worker admits no requests, so
	// a count of zero then stays zero.
	worker.Requests, err = s.options.Targets.InFlight(r.Context(), worker.ID)
	if err != nil {
		writeAPIError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, worker)
}

// Worker returns the current state of a worker. Its number of requests in flight
// is the last polled one.
func (s *Server) Worker(id string) (infra.Worker, bool) {
	var found infra.Worker
	var ok bool
	s.runInLoop(func(st *state, _ time.Time) {
		if row, worker := st.worker(id); worker != nil {
			found, ok = st.view(row, worker), true
		}
	})
	return found, ok
}
