package work

import "testing"

// Guards against calls with unknown or withdrawn keys, and against keys demanded where
// the manifest names no teams.
func TestAuthenticate(t *testing.T) {
	m := &Manifest{Version: 7}
	private, public := &Queue{Name: "private"}, &Queue{Name: "public", Public: true}
	if team, ok := m.Authenticate(private, ""); !ok || team != "" {
		t.Errorf("a manifest without teams returns %q, %v, want no team and true", team, ok)
	}
	m.SetTeams([]Team{{Name: "a", Keys: []KeyHash{HashKey("key-1"), HashKey("key-2")}}, {Name: "b", Keys: []KeyHash{HashKey("key-3"), HashKey("key-1")}}})
	cases := []struct {
		queue *Queue
		key   string
		team  string
		ok    bool
	}{
		{private, "key-1", "a", true},
		{private, "key-2", "a", true},
		{private, "key-3", "b", true},
		{private, "key-4", "", false},
		{private, "", "", false},
		{public, "", "", true},
		{public, "key-4", "", true},
	}
	for _, c := range cases {
		if team, ok := m.Authenticate(c.queue, c.key); ok != c.ok || team != c.team {
			t.Errorf("queue %s, key %q: %q, %v, want %q, %v", c.queue.Name, c.key, team, ok, c.team, c.ok)
		}
	}
	next := &Manifest{Version: 8}
	next.SetTeams(nil)
	if _, ok := next.Authenticate(private, "key-1"); ok || !next.HasTeams() {
		t.Error("a manifest with an empty list of teams accepts a key")
	}
	if m.Team("b") == nil || m.Team("c") != nil {
		t.Error("teams are not found by name")
	}
}
