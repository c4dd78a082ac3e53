package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxBody = 2 << 20
	// maxServiceTime and maxPadding bound what a caller can ask for.
	maxServiceTime = 10 * time.Minute
	maxPadding     = 16 << 20
)

// overLimit is the context key of connections beyond the target's limit.
type overLimit struct{}

func (t *server) configure(web *http.Server) {
	mux := http.NewServeMux()
	t.group.handleAdmin(mux, t.worker)
	mux.HandleFunc("/", t.serve)
	web.Handler = mux
	// Each accepted connection is counted before its first request, and again at its end.
	web.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		over := t.connections.Add(1) > int64(t.group.options.Connections)
		return context.WithValue(ctx, overLimit{}, over)
	}
	web.ConnState = func(_ net.Conn, connState http.ConnState) {
		if connState == http.StateClosed || connState == http.StateHijacked {
			t.connections.Add(-1)
		}
	}
}

func (t *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
	w.Header().Set(HeaderWorker, t.worker)
	if over, _ := r.Context().Value(overLimit{}).(bool); over {
		w.Header().Set("Connection", "close")
		refuse(w, RefusedConnections)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	granted, ok := t.admit(r)
	switch {
	case !ok || granted.down:
		panic(http.ErrAbortHandler)
	case granted.refused != "":
		refuse(w, granted.refused)
		return
	}
	defer t.finish(granted)
	t.execute(w, r, body, granted)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderRefused, reason)
	http.Error(w, "refused: "+reason, http.StatusServiceUnavailable)
}

// admit asks the loop for a slot. It waits for the verdict even if the client
// goes away, because a slot that was granted must be returned.
func (t *server) admit(r *http.Request) (verdict, bool) {
	a := &arrival{
		target:         t.id,
		requestID:      r.Header.Get(HeaderRequestID),
		idempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		answer:         make(chan verdict, 1),
	}
	if t.group.loop.Post(t.group.running, a) != nil {
		return verdict{}, false
	}
	select {
	case granted := <-a.answer:
		return granted, true
	case <-t.group.running.Done():
		return verdict{}, false
	}
}

func (t *server) finish(granted verdict) {
	_ = t.group.loop.Post(t.group.running, finished{request: granted.request}) // fails only at the end
}

func (t *server) execute(w http.ResponseWriter, r *http.Request, body []byte, granted verdict) {
	faults := granted.faults
	if faults.NeverRespond {
		select {
		case <-r.Context().Done():
		case <-t.group.running.Done():
		}
		panic(http.ErrAbortHandler)
	}
	if faults.FailFast {
		write(w, http.StatusInternalServerError, []byte("failed\n"), false)
		return
	}
	service := granted.service
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		service = time.Duration(ms+faults.SlowMS) * time.Millisecond
	}
	t.work(min(service, maxServiceTime))
	if faults.WrongAttemptID {
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID)+"-other")
	}
	write(w, statusOf(r), t.answer(r, body), faults.TruncateResponse)
}

// work takes the service time. A client that goes away does not end it, because
// a target does not notice that.
func (t *server) work(service time.Duration) {
	if service <= 0 {
		return
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.group.running.Done():
	}
}

func statusOf(r *http.Request) int {
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		return http.StatusOK
	}
	return status
}

func (t *server) answer(r *http.Request, body []byte) []byte {
	size, _ := strconv.Atoi(r.URL.Query().Get("size")) // absent means no padding
	content, err := json.Marshal(EchoResponse{
		Worker: t.worker, RequestID: r.Header.Get(HeaderRequestID), Method: r.Method, URI: r.URL.RequestURI(),
		Body: body, Padding: strings.Repeat("x", min(max(0, size), maxPadding)),
	})
	if err != nil {
		return fmt.Appendf(nil, "encode answer: %v", err)
	}
	return content
}

// write sends the answer and flushes it, so that it has left the process before
// the slot is returned and a stop of the target can no longer cut it off.
func write(w http.ResponseWriter, status int, content []byte, cutShort bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	if cutShort {
		content = content[:len(content)/2]
	}
	_, _ = w.Write(content) // a client that went away needs no answer
	_ = http.NewResponseController(w).Flush()
	if cutShort {
		panic(http.ErrAbortHandler)
	}
}
