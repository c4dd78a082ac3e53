package httpapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/waxwingbridge/waxwingbridge/infra"
)

// listServer serves a list with an entity tag and counts the responses that contain
// the list.
type listServer struct {
	tag, body   string
	fullAnswers int
}

func (s *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.tag != "" {
		w.Header().Set("ETag", s.tag)
		if r.Header.Get("If-None-Match") == s.tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	s.fullAnswers++
	_, _ = w.Write([]byte(s.body))
}

func list(t *testing.T, c *Client) []infra.Worker {
	t.Helper()
	workers, err := c.ListWorkers(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return workers
}

// Guards against a client that keeps an outdated list, and against a list that is
// sent again although it did not change.
func TestListIsConditional(t *testing.T) {
	served := &listServer{tag: `"1"`, body: `[{"id":"w001","status":"live"}]`}
	server := httptest.NewServer(served)
	defer server.Close()
	c := New(server.URL)
	defer c.Close()
	list(t, c)
	if again := list(t, c); len(again) != 1 || again[0].ID != "w001" || served.fullAnswers != 1 {
		t.Errorf("%+v after %d full answers, want w001 after 1", again, served.fullAnswers)
	}
	served.tag, served.body = `"2"`, `[{"id":"w001","status":"leaving"}]`
	if changed := list(t, c); changed[0].Status != infra.WorkerLeaving || served.fullAnswers != 2 {
		t.Errorf("%+v after %d full answers, want a leaving worker after 2", changed, served.fullAnswers)
	}
}

// Guards against a list that is treated as unchanged although the platform sends no
// entity tags.
func TestListWithoutTagIsReadEachTime(t *testing.T) {
	served := &listServer{body: `[]`}
	server := httptest.NewServer(served)
	defer server.Close()
	c := New(server.URL)
	defer c.Close()
	list(t, c)
	list(t, c)
	if served.fullAnswers != 2 {
		t.Errorf("%d full answers, want 2", served.fullAnswers)
	}
}
