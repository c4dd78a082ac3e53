package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// machine is a machine of the platform.
type machine struct {
	name   string
	pool   string
	zone   string
	rack   string
	state  string
	backAt time.Time
	minion *minion
	waves  map[int]bool // its upkeep for these waves has begun
	down   int          // the wave that it is down for, or 0
}

// pool describes the machines of a service at the start.
type pool struct {
	name     string
	machines int
	standby  bool
}

// fill creates the machines of all pools.
func (w *world) fill(pools []pool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, of := range pools {
		for i := range of.machines {
			k := &machine{
				name: fmt.Sprintf("m-%s-%d", of.name, i), pool: of.name, zone: "z" + strconv.Itoa(i%3+1),
				rack: fmt.Sprintf("r%d-%d", p+1, i/machinesPerRack), state: "up", waves: map[int]bool{},
			}
			w.machines[k.name] = k
			w.order = append(w.order, k.name)
			if !of.standby {
				w.newMinion(k.name)
			}
		}
	}
}

func (w *world) advanceMachines(now time.Time) {
	for _, name := range w.order {
		k := w.machines[name]
		if k.backAt.IsZero() || now.Before(k.backAt) {
			continue
		}
		k.state, k.backAt, k.down = "up", time.Time{}, 0
		if k.pool != standbyPool {
			w.newMinion(name)
		}
	}
}

func (w *world) serveMachines(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := []map[string]any{}
	for _, name := range w.order {
		k := w.machines[name]
		row := map[string]any{
			"Machine": name, "Pool": k.pool, "State": k.state, "Zone": k.zone, "Labels": []string{"a", k.rack},
			"Capacity": map[string]int{"Cpu": minionCPU, wire("memory"): minionMemoryMb, "Gpu": 0},
		}
		if k.minion != nil {
			row["Id"] = k.minion.id
		}
		rows = append(rows, row)
	}
	answer(rw, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

// serveMachineOrder answers a move or an upkeep. On 200, everything on the machine ends.
func (w *world) serveMachineOrder(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine, Pool string
		Wave          int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	k := w.machines[o.Machine]
	isUpkeep := r.URL.Path == wire("upkeep")
	switch {
	case k == nil:
		w.mu.Unlock()
		answer(rw, http.StatusBadRequest, nil)
		return
	case isUpkeep && k.waves[o.Wave], !isUpkeep && k.pool == o.Pool:
		w.mu.Unlock()
		answer(rw, http.StatusOK, map[string]any{})
		return
	case k.state != "up":
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]string{"Reason": "busy"})
		return
	}
	now := time.Now()
	if k.minion != nil {
		for _, run := range k.minion.runs {
			w.note("%s run %d on %s ends with its machine", run.task, run.number, k.minion.id)
			w.away(run, true)
		}
		w.leave(k.minion)
		k.minion = nil
	}
	if isUpkeep {
		w.beginUpkeep(now, k, o.Wave)
	} else {
		w.note("machine %s moves from %s to %s (holder %s, token %s)", k.name, k.pool, o.Pool, r.Header.Get(wire("holder")), r.Header.Get(wire("token")))
		k.state, k.pool, k.backAt = "moving", o.Pool, now.Add(moveTime)
	}
	lost := isUpkeep && w.loseUpkeep != nil && w.loseUpkeep(k.name)
	w.mu.Unlock()
	if lost {
		drop(rw)
		return
	}
	answer(rw, http.StatusOK, map[string]any{})
}

// beginUpkeep takes a machine down for a wave, and checks the cap of the wave.
func (w *world) beginUpkeep(now time.Time, k *machine, wave int) {
	down := 0
	for _, other := range w.machines {
		if other.down == wave {
			down++
		}
	}
	k.state, k.backAt, k.down = "upkeep", now.Add(upkeepTime), wave
	k.waves[wave] = true
	w.upkeeps = append(w.upkeeps, upkeep{now, k.name, wave})
	w.note("machine %s begins its upkeep for wave %d, %d others are down for it", k.name, wave, down)
	if limit := w.waveCap(wave); down >= limit {
		w.violate("LIMIT: the upkeep of %s begins while %d machines of wave %d are down for theirs, its Cap is %d", k.name, down, wave, limit)
	}
}

func (w *world) waveCap(wave int) int {
	var request struct{ Cap int }
	if it := w.items["op/wave/"+strconv.Itoa(wave)]; it == nil || json.Unmarshal(it.Value, &request) != nil {
		return 0
	}
	return request.Cap
}

// drop ends the channel of a call without an answer.
func drop(rw http.ResponseWriter) {
	if hijacker, ok := rw.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			conn.Close()
		}
	}
}
