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
	maxBodyBytes = 2 << 20
	// maxServiceTime and maxPaddingBytes limit the values of the query parameters ms and size.
	maxServiceTime  = 10 * time.Minute
	maxPaddingBytes = 16 << 20
)

// overLimit is the context key that marks connections beyond the target's limit.
type overLimit struct{}

func (t *server) configure(httpServer *http.Server) {
	mux := http.NewServeMux()
	t.group.handleAdmin(mux, t.worker)
	mux.HandleFunc("/", t.serve)
	httpServer.Handler = mux
	// ConnContext counts each accepted connection before its first request; ConnState subtracts it at its end.
	httpServer.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		over := t.connections.Add(1) > int64(t.group.options.Connections)
		return context.WithValue(ctx, overLimit{}, over)
	}
	httpServer.ConnState = func(_ net.Conn, connState http.ConnState) {
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	defer t.releaseSlot(granted)
	t.execute(w, r, body, granted)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderRefused, reason)
	http.Error(w, "refused: "+reason, http.StatusServiceUnavailable)
}

// admit requests a slot from the loop. It waits for the decision even if the
// client disconnects, because a granted slot must be released.
func (t *server) admit(r *http.Request) (admission, bool) {
	a := &arrival{
		target:         t.id,
		requestID:      r.Header.Get(HeaderRequestID),
		idempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		reply:          make(chan admission, 1),
	}
	if t.group.loop.Post(t.group.ctx, a) != nil {
		return admission{}, false
	}
	select {
	case granted := <-a.reply:
		return granted, true
	case <-t.group.ctx.Done():
		return admission{}, false
	}
}

func (t *server) releaseSlot(granted admission) {
	_ = t.group.loop.Post(t.group.ctx, finished{request: granted.request}) // fails only when the group closes
}

func (t *server) execute(w http.ResponseWriter, r *http.Request, body []byte, granted admission) {
	faults := granted.faults
	if faults.NeverRespond {
		select {
		case <-r.Context().Done():
		case <-t.group.ctx.Done():
		}
		panic(http.ErrAbortHandler)
	}
	if faults.FailFast {
		writeResponse(w, http.StatusInternalServerError, []byte("failed\n"), false)
		return
	}
	service := granted.service
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		service = time.Duration(ms+faults.SlowMS) * time.Millisecond
	}
	t.waitServiceTime(min(service, maxServiceTime))
	if faults.WrongAttemptID {
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID)+"-other")
	}
	writeResponse(w, requestedStatus(r), t.encodeResponse(r, body), faults.TruncateResponse)
}

// waitServiceTime waits for the service time. It ignores client disconnects,
// because a real target does not detect them either.
func (t *server) waitServiceTime(service time.Duration) {
	if service <= 0 {
		return
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.group.ctx.Done():
	}
}

func requestedStatus(r *http.Request) int {
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		return http.StatusOK
	}
	return status
}

func (t *server) encodeResponse(r *http.Request, body []byte) []byte {
	size, _ := strconv.Atoi(r.URL.Query().Get("size")) // 0 if absent: no padding
	content, err := json.Marshal(EchoResponse{
		Worker: t.worker, RequestID: r.Header.Get(HeaderRequestID), Method: r.Method, URI: r.URL.RequestURI(),
		Body: body, Padding: strings.Repeat("x", min(max(0, size), maxPaddingBytes)),
	})
	if err != nil {
		return fmt.Appendf(nil, "encode answer: %v", err)
	}
	return content
}

// writeResponse writes and flushes the response, so that it has left the process
// before the slot is released. Otherwise stopping the target could truncate a
// response that is no longer counted as in flight.
func writeResponse(w http.ResponseWriter, status int, content []byte, truncate bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	if truncate {
		content = content[:len(content)/2]
	}
	_, _ = w.Write(content) // a write error means that the client disconnected
	_ = http.NewResponseController(w).Flush()
	if truncate {
		panic(http.ErrAbortHandler)
	}
}
