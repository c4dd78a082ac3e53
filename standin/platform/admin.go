package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

// Paths of the administration endpoints, on the address of the VM and task interface.
const (
	PathFaults       = "/standin/faults"      // GET reads, PUT replaces Faults
	PathCalls        = "/standin/calls"       // GET returns Calls
	PathExecutions   = "/standin/executions"  // GET returns the number of task starts by job
	PathOperations   = "/standin/operations"  // GET returns the list of ExecutedOperation
	PathWorkerAction = "/standin/initiative"  // POST takes a WorkerActionRequest
	PathCutWatches   = "/standin/cut-watches" // POST cancels all watches of the store
	PathAddWorkers   = "/standin/workers"     // POST adds a list of infra.Worker
)

// Faults are the injected faults. PUT and SetFaults replace the whole set.
type Faults struct {
	// StoreDown closes the store's port. Leases do not expire while it is set.
	StoreDown   bool `json:"store_down"`
	StoreSlowMS int  `json:"store_slow_ms"`
	// StoreLoseAnswers closes the connection after a write has taken effect,
	// without a response.
	StoreLoseAnswers     bool `json:"store_lose_answers"`
	StoreLoseNextAnswers int  `json:"store_lose_next_answers"`
	// StoreWatchesSilent keeps watches open but sends no messages on them.
	StoreWatchesSilent bool `json:"store_watches_silent"`
	// PlatformDown closes the connection of every VM and task call without a response.
	PlatformDown        bool     `json:"platform_down"`
	PlatformSlowMS      int      `json:"platform_slow_ms"`
	PlatformLoseAnswers bool     `json:"platform_lose_answers"`
	ListFrozen          bool     `json:"list_frozen"`
	RebootHangs         bool     `json:"reboot_hangs"`    // reboots complete only after the fault is cleared
	FailingWorkers      []string `json:"failing_workers"` // workers on which every task fails at its start
}

// Calls counts the calls by kind.
type Calls struct {
	Store    map[string]int64 `json:"store"`
	Platform map[string]int64 `json:"platform"`
}

// SetFaults replaces the injected faults and returns when they are in effect.
func (s *Server) SetFaults(faults Faults) error {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	s.faults.Store(&faults)
	s.store.SetFaults(memory.Faults{
		Down:            faults.StoreDown,
		Latency:         time.Duration(faults.StoreSlowMS) * time.Millisecond,
		LoseAnswers:     faults.StoreLoseAnswers,
		LoseNextAnswers: faults.StoreLoseNextAnswers,
		SilentWatches:   faults.StoreWatchesSilent,
	})
	s.runInLoop(func(st *state, _ time.Time) { st.faults = faults })
	return s.storeServer.SetDown(s.ctx, faults.StoreDown)
}

// Faults returns the faults that were last set.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// CutWatches cancels all watches of the store.
func (s *Server) CutWatches() { s.store.CutWatches() }

// Calls returns the number of calls by kind since the start.
func (s *Server) Calls() Calls {
	calls := Calls{Store: s.store.Calls()}
	s.runInLoop(func(st *state, _ time.Time) { calls.Platform = maps.Clone(st.calls) })
	return calls
}

// Executions returns the number of task starts by job.
func (s *Server) Executions() map[string]int {
	var starts map[string]int
	s.runInLoop(func(st *state, _ time.Time) { starts = maps.Clone(st.starts) })
	return starts
}

// Operations returns the operations that took effect on workers, in order of execution.
func (s *Server) Operations() []ExecutedOperation {
	operations := []ExecutedOperation{}
	s.runInLoop(func(st *state, _ time.Time) {
		for _, operation := range st.executed.All() {
			operations = append(operations, *operation)
		}
	})
	return operations
}

// ApplyWorkerAction fails, recovers or removes workers without a call through the
// platform interface.
func (s *Server) ApplyWorkerAction(request WorkerActionRequest) {
	s.runInLoop(func(st *state, now time.Time) { st.applyWorkerAction(now, request) })
}

// AddWorkers adds workers, for example replacements. Existing IDs are skipped.
func (s *Server) AddWorkers(workers ...infra.Worker) {
	s.runInLoop(func(st *state, _ time.Time) {
		for _, worker := range workers {
			st.addWorker(worker)
		}
	})
}

func (s *Server) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Calls())
	})
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET "+PathOperations, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Operations())
	})
	handleChange(mux, "PUT "+PathFaults, s.SetFaults)
	handleChange(mux, "POST "+PathWorkerAction, func(request WorkerActionRequest) error {
		s.ApplyWorkerAction(request)
		return nil
	})
	handleChange(mux, "POST "+PathAddWorkers, func(workers []infra.Worker) error {
		s.AddWorkers(workers...)
		return nil
	})
	mux.HandleFunc("POST "+PathCutWatches, func(w http.ResponseWriter, _ *http.Request) {
		s.CutWatches()
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

// handleChange registers an endpoint that decodes a change and applies it. Unknown
// fields are errors, so that a misspelt fault name in a test is detected.
func handleChange[B any](mux *http.ServeMux, pattern string, change func(B) error) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAPIBody))
		decoder.DisallowUnknownFields()
		var body B
		err := decoder.Decode(&body)
		if err != nil {
			err = rejected("body: %v", err)
		} else {
			err = change(body)
		}
		if err != nil {
			writeAPIError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	})
}
