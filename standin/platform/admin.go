package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

// Paths of the fault switches and counters, on the address of the VM interface.
const (
	PathFaults       = "/standin/faults"      // GET reads, PUT replaces Faults
	PathCalls        = "/standin/calls"       // GET returns Calls
	PathExecutions   = "/standin/executions"  // GET returns the number of starts by job
	PathOperations   = "/standin/operations"  // GET returns the list of ExecutedOperation
	PathWorkerAction = "/standin/initiative"  // POST takes a WorkerActionRequest
	PathCutWatches   = "/standin/cut-watches" // POST ends all watches of the store
	PathAddWorkers   = "/standin/workers"     // POST adds a list of infra.Worker
)

// Faults are the switches. PUT and SetFaults replace all of them.
type Faults struct {
	// StoreDown closes the store's port. Leases do not expire meanwhile.
	StoreDown   bool `json:"store_down"`
	StoreSlowMS int  `json:"store_slow_ms"`
	// StoreLoseAnswers breaks the connection after each write took effect.
	StoreLoseAnswers     bool `json:"store_lose_answers"`
	StoreLoseNextAnswers int  `json:"store_lose_next_answers"`
	// StoreWatchesSilent keeps watches open and sends nothing on them.
	StoreWatchesSilent bool `json:"store_watches_silent"`
	// PlatformDown breaks the connections of the VM and task interface.
	PlatformDown        bool     `json:"platform_down"`
	PlatformSlowMS      int      `json:"platform_slow_ms"`
	PlatformLoseAnswers bool     `json:"platform_lose_answers"`
	ListFrozen          bool     `json:"list_frozen"`
	RebootHangs         bool     `json:"reboot_hangs"`    // reboots end only after the switch is off
	FailingWorkers      []string `json:"failing_workers"` // fail every task at its start
}

// Calls are the numbers of calls by kind.
type Calls struct {
	Store    map[string]int64 `json:"store"`
	Platform map[string]int64 `json:"platform"`
}

// SetFaults replaces the fault switches and returns when they are in force.
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
	s.control(func(st *state, _ time.Time) { st.faults = faults })
	return s.storeWeb.SetDown(s.running, faults.StoreDown)
}

// Faults returns the switches as they were last set.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// CutWatches ends all watches of the store.
func (s *Server) CutWatches() { s.store.CutWatches() }

// Calls returns the numbers of calls since the start.
func (s *Server) Calls() Calls {
	calls := Calls{Store: s.store.Calls()}
	s.control(func(st *state, _ time.Time) { calls.Platform = maps.Clone(st.calls) })
	return calls
}

// Executions returns how often a task of each job was started.
func (s *Server) Executions() map[string]int {
	var starts map[string]int
	s.control(func(st *state, _ time.Time) { starts = maps.Clone(st.starts) })
	return starts
}

// Operations returns the operations that took effect on workers, in order.
func (s *Server) Operations() []ExecutedOperation {
	operations := []ExecutedOperation{}
	s.control(func(st *state, _ time.Time) {
		for _, operation := range st.executed.All() {
			operations = append(operations, *operation)
		}
	})
	return operations
}

// ApplyWorkerAction lets the platform act on workers on its own initiative.
func (s *Server) ApplyWorkerAction(request WorkerActionRequest) {
	s.control(func(st *state, now time.Time) { st.take(now, request) })
}

// AddWorkers adds workers, such as replacements. Known IDs are skipped.
func (s *Server) AddWorkers(workers ...infra.Worker) {
	s.control(func(st *state, _ time.Time) {
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
	admin(mux, "PUT "+PathFaults, s.SetFaults)
	admin(mux, "POST "+PathWorkerAction, func(request WorkerActionRequest) error {
		s.ApplyWorkerAction(request)
		return nil
	})
	admin(mux, "POST "+PathAddWorkers, func(workers []infra.Worker) error {
		s.AddWorkers(workers...)
		return nil
	})
	mux.HandleFunc("POST "+PathCutWatches, func(w http.ResponseWriter, _ *http.Request) {
		s.CutWatches()
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

// admin serves a switch. Unknown fields are errors, so that a misspelt switch in
// a test does not pass unnoticed.
func admin[B any](mux *http.ServeMux, pattern string, change func(B) error) {
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
