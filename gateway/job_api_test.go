package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/waxwingbridge/waxwingbridge/outcome"
)

// startJobServer serves the job interface of a gateway without an active controller.
// A valid request ends with no-controller.
func startJobServer(t *testing.T) string {
	t.Helper()
	g := &Gateway{}
	g.status.Store(&controlStatus{})
	server := httptest.NewServer(g.jobHandler())
	t.Cleanup(server.Close)
	return server.URL
}

func decodeJobResponse(t *testing.T, got callerResponse) JobResponse {
	t.Helper()
	var body JobResponse
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("%v in the body %q", err, got.body)
	}
	return body
}

// Guards against an invalid submission that reaches a controller, and against a
// refusal that does not name the field, the value and the accepted range.
func TestMalformedJobsAreRefused(t *testing.T) {
	url := startJobServer(t)
	for _, test := range []struct{ name, body, field, value, accepted string }{
		{"negative size", `{"pool":"a","milli_cores":-5}`, "milli_cores", "-5", "1 to 1000000"},
		{"no size", `{"pool":"a"}`, "milli_cores", "0", "1 to 1000000"},
		{"size beyond 32 bits", `{"pool":"a","milli_cores":4294967296}`, "milli_cores", "4294967296", "1 to 1000000"},
		{"negative memory", `{"pool":"a","milli_cores":1,"memory_mb":-1}`, "memory_mb", "-1", "0 to 4294967295"},
		{"negative accelerators", `{"pool":"a","milli_cores":1,"accelerators":-1}`, "accelerators", "-1", "0 to 4294967295"},
		{"negative run time", `{"pool":"a","milli_cores":1,"run_time_ms":-1}`, "run_time_ms", "-1", "0 to 2592000000"},
		{"run time beyond 64 bits", `{"pool":"a","milli_cores":1,"run_time_ms":1e30}`, "run_time_ms", "1e30", "0 to 2592000000"},
		{"priority beyond 32 bits", `{"pool":"a","milli_cores":1,"priority":3000000000}`, "priority", "3000000000", "to 2147483647"},
		{"class", `{"pool":"a","milli_cores":1,"class":"slow"}`, "class", `"slow"`, "urgent, quick, long"},
		{"no pool", `{"milli_cores":1}`, "pool", `""`, "1 to 32 characters"},
		{"pool name", `{"pool":"A b","milli_cores":1}`, "pool", `"A b"`, "1 to 32 characters"},
		{"ID", `{"id":"a/b","pool":"a","milli_cores":1}`, "id", `"a/b"`, "128 printable"},
		{"long family", `{"pool":"a","milli_cores":1,"family":"` + strings.Repeat("f", 1000) + `"}`, "family", "a text of 1000 bytes", "bytes"},
		{"long payload", `{"pool":"a","milli_cores":1,"payload":"` + strings.Repeat("p", 40000) + `"}`, "payload", "a text of 40000 bytes", "bytes"},
		{"text as number", `{"pool":"a","milli_cores":"1"}`, "milli_cores", "string", "1 to 1000000"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := call(t, http.MethodPost, url+"/v1/jobs", test.body)
			wantOutcome(t, got, http.StatusBadRequest, "not-run", "bad-request")
			body := decodeJobResponse(t, got)
			if body.Field != test.field || body.Value != test.value || !strings.Contains(body.Accepted, test.accepted) {
				t.Errorf("body %+v", body)
			}
			if !strings.Contains(body.Detail, test.field) || !strings.Contains(body.Detail, body.Accepted) {
				t.Errorf("detail %q", body.Detail)
			}
		})
	}
}

// Guards against malformed bodies that are accepted as a job.
func TestUnreadableJobsAreRefused(t *testing.T) {
	url := startJobServer(t)
	for _, test := range []struct {
		name, body, detail string
		status             int
	}{
		{"empty", "", "not a JSON object", http.StatusBadRequest},
		{"truncated", `{"pool":"a"`, "not a JSON object", http.StatusBadRequest},
		{"unknown field", `{"pool":"a","milli_cores":1,"cores":2}`, `unknown field "cores"`, http.StatusBadRequest},
		{"two values", `{"pool":"a","milli_cores":1}{}`, "after the JSON object", http.StatusBadRequest},
		{"too large", `{"payload":"` + strings.Repeat("x", maxJobBytes) + `"}`, "larger than 65536", http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := call(t, http.MethodPost, url+"/v1/jobs", test.body)
			wantOutcome(t, got, test.status, "not-run", "bad-request")
			if body := decodeJobResponse(t, got); !strings.Contains(body.Detail, test.detail) {
				t.Errorf("detail %q, want %q", body.Detail, test.detail)
			}
		})
	}
}

// Guards against job requests without a valid tenant, and against responses without
// the outcome headers if the path or method is wrong or no controller is active.
func TestJobCallsCarryTheirOutcome(t *testing.T) {
	url := startJobServer(t)
	const job = `{"pool":"a","milli_cores":1}`
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		for _, tenant := range []string{"", "A", "two words", strings.Repeat("a", 33)} {
			request := httptest.NewRequest(method, "/v1/jobs/j1", nil)
			request.Header.Set(headerTenant, tenant)
			got := serveJob(request)
			wantOutcome(t, got, http.StatusBadRequest, "not-run", "bad-request")
			if body := decodeJobResponse(t, got); body.Header != headerTenant || body.Value != tenant || body.Accepted == "" {
				t.Errorf("body %+v", body)
			}
		}
	}
	wantOutcome(t, call(t, http.MethodPut, url+"/v1/jobs", job), http.StatusMethodNotAllowed, "not-run", "bad-request")
	wantOutcome(t, call(t, http.MethodGet, url+"/v1/jobs/a/b", ""), http.StatusNotFound, "not-run", "bad-request")
	wantOutcome(t, call(t, http.MethodPost, url+"/v1/jobs", job), http.StatusServiceUnavailable, "not-run", string(outcome.ReasonNoController))
	wantOutcome(t, call(t, http.MethodGet, url+"/v1/jobs/j1", ""), http.StatusServiceUnavailable, "not-run", string(outcome.ReasonNoController))
}

func serveJob(request *http.Request) callerResponse {
	g := &Gateway{}
	g.status.Store(&controlStatus{})
	recorded := httptest.NewRecorder()
	g.jobHandler().ServeHTTP(recorded, request)
	return callerResponse{status: recorded.Code, header: recorded.Header(), body: recorded.Body.String()}
}
