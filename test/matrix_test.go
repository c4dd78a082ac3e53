package test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// cell is a test case that covers one or more cells of docs/fault-matrix.md.
type cell struct {
	name string // the fault and the step that it hits
	run  func(s *site, traffic *callers)
}

// group is a list of cells that run in order on one shared site, while callers
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

// Guards against faults that break an invariant or prevent the site from
// recovering, at any step. The comment of each cell's function states what the
// cell expects.
func TestFaultMatrix(t *testing.T) {
	for _, g := range groups() {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, g.options)
			traffic := s.startCallers(max(g.callers, 3), s.pools[:len(s.pools)-1]...)
			traffic.waitCompleted(20)
			for _, c := range g.cells {
				s.runCell(c.name, func() { c.run(s, traffic) })
			}
			traffic.waitCompleted(50)
			traffic.stopAndWait()
			t.Log(traffic.summary())
			s.observer.check(s.jobs)
		})
	}
}

// runCell runs a cell as a subtest; meanwhile helpers report to the subtest.
func (s *site) runCell(name string, cell func()) {
	parent := s.t
	parent.Run(name, func(t *testing.T) {
		s.t = t
		defer func() { s.t = parent }()
		cell()
	})
}

// Guards against a fault matrix page that lists tests which do not exist, and
// against cells that the page does not list.
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
			t.Errorf("docs/fault-matrix.md lists the cell %s, which does not exist; cells: %s", name, strings.Join(want, " "))
		}
	}
}
