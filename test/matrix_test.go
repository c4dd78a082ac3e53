package test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// cell is one or several cells of docs/fault-matrix.md.
type cell struct {
	name string // fault and step
	run  func(s *site, traffic *callers)
}

// group is a list of cells that share a site and run in order, while callers
// send requests and the invariants are checked.
type group struct {
	name    string
	options options
	callers int
	cells   []cell
}

func groups() []group {
	return []group{
		storeGroup(), controllerGroup(), waveGroup(), gatewayGroup(), lostGatewayGroup(), targetGroup(), peerGroup(), silentPeerGroup(),
		zoneGroup(), pairGroup(), jobGroup(),
	}
}

// Guards against any fault at any step that breaks an invariant or keeps the
// site from recovering. Each cell says in its own comment what it expects.
func TestFaultMatrix(t *testing.T) {
	for _, g := range groups() {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, g.options)
			traffic := s.startCallers(max(g.callers, 3), s.pools[:len(s.pools)-1]...)
			traffic.progress(20)
			for _, c := range g.cells {
				s.run(c.name, func() { c.run(s, traffic) })
			}
			traffic.progress(50)
			traffic.end()
			t.Log(traffic.counts())
			s.watch.check(s.jobs)
		})
	}
}

// run runs a cell as a subtest of the site's test.
func (s *site) run(name string, cell func()) {
	parent := s.t
	parent.Run(name, func(t *testing.T) {
		s.t = t
		defer func() { s.t = parent }()
		cell()
	})
}

// Guards against a matrix that names tests which do not exist, and against
// cells that the matrix does not list.
func TestMatrixPageNamesEveryCell(t *testing.T) {
	page, err := os.ReadFile("../docs/fault-matrix.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, g := range groups() {
		for _, c := range g.cells {
			want = append(want, g.name+"/"+c.name)
		}
	}
	var got []string
	for _, match := range regexp.MustCompile("`process:([a-z0-9/-]+)`").FindAllStringSubmatch(string(page), -1) {
		got = append(got, match[1])
	}
	for _, name := range want {
		if !slices.Contains(got, name) {
			t.Errorf("docs/fault-matrix.md does not list the cell %s", name)
		}
	}
	for _, name := range got {
		if !slices.Contains(want, name) {
			t.Errorf("docs/fault-matrix.md lists %s, which does not exist; cells: %s", name, strings.Join(want, " "))
		}
	}
}
