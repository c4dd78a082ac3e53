package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Table is text in aligned columns, followed by footer lines. The first row is
// the header, if the table has one.
type Table struct {
	Rows   [][]string
	Footer []string
}

func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = sanitize(fmt.Sprint(cell))
	}
	t.Rows = append(t.Rows, row)
}

// sanitize replaces control characters, so that text of operators and peers can
// neither break the columns nor send escape sequences to the terminal.
func sanitize(text string) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
	if text == "" {
		return "-"
	}
	return text
}

const columnGap = 2

func (t *Table) Write(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range t.Rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, line := range t.Footer {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// FormatTable returns the text that Table.Write writes.
func FormatTable(t *Table) string {
	var b strings.Builder
	_ = t.Write(&b) // a Builder does not fail
	return b.String()
}

// WriteJSON writes a value as indented JSON without escaping HTML characters.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// StatusTable formats the status of the site with its peers as the footer.
func StatusTable(r *controller.StatusReport) *Table {
	t := &Table{}
	t.add("site", r.Site)
	t.add("answering controller", r.Phase)
	t.add("active controller", r.ActiveController)
	t.add("epoch", r.Epoch)
	t.add("fleet revision", r.FleetRevision)
	t.add("configuration revision", r.ConfigRevision)
	t.add("store", reachable(r.StoreReachable))
	t.add("platform", reachable(r.PlatformAnswers))
	t.add("workers", fmt.Sprintf("%d, %d serving", r.Workers, r.Serving))
	t.add("wave", r.Wave)
	peers := &Table{}
	peers.add("ROLE", "ADDRESS", "AZ", "CONFIG", "FLEET", "HEARD", "SUSPECTED", "INCARNATION")
	for _, peer := range r.Peers {
		heard := fmt.Sprintf("%.1fs ago", peer.LastReceivedSecondsAgo)
		peers.add(peer.Role, peer.Address, peer.AvailabilityZone, peer.ConfigRevision, peer.FleetRevision, heard, peer.Suspected, peer.Incarnation)
	}
	t.Footer = append([]string{""}, strings.Split(strings.TrimRight(FormatTable(peers), "\n"), "\n")...)
	return t
}

func reachable(ok bool) string {
	if ok {
		return "reachable"
	}
	return "unreachable"
}

// PoolsTable formats the availability of pools.
func PoolsTable(reports []controller.PoolReport) *Table {
	t := &Table{}
	t.add("POOL", "WORKERS", "SERVING", "FLOOR", "SLACK", "BORROWED", "DEMAND", "WAITING")
	for i := range reports {
		r := &reports[i]
		name := r.Pool
		if r.Spare {
			name += " (spare)"
		}
		t.add(name, r.Workers, r.Serving, r.Floor, r.Slack, r.Borrowed, fmt.Sprintf("%.1f", r.Demand), r.Waiting)
	}
	return t
}

// WorkersTable formats workers with their operations and wait reasons.
func WorkersTable(reports []controller.WorkerReport) *Table {
	t := &Table{}
	t.add("WORKER", "POOL", "STATE", "SINCE", "AZ", "RACK", "MAINTAINED", "OPERATION", "WAITING")
	for i := range reports {
		r := &reports[i]
		t.add(r.ID, r.Pool, r.State, formatTime(r.Since), r.AvailabilityZone, r.Rack, formatTime(r.MaintainedAt), formatOperation(r.Operation), r.Waiting)
	}
	return t
}

func formatOperation(o *fleet.Operation) string {
	if o == nil {
		return ""
	}
	text := string(o.Kind) + " " + o.ID
	if o.ToPool != "" {
		text += " to " + o.ToPool
	}
	if o.Aborted {
		text += " (aborted)"
	}
	return text
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// WaveTable formats a wave with its progress and the reasons why pools wait.
func WaveTable(r *controller.WaveReport) *Table {
	t := &Table{}
	if r.Wave == nil {
		t.add("no wave has been started")
		return t
	}
	addWave(t, r.Wave)
	t.add("workers", fmt.Sprintf("%d maintained, %d in progress, %d pending", r.Maintained, r.InProgress, r.Pending))
	if r.Wave.Status == fleet.WaveDone || r.Wave.Status == fleet.WaveAborted {
		return t // an ended wave waits for nothing
	}
	for _, pool := range sortedKeys(r.Waiting) {
		name := pool
		if name == "" {
			name = "all pools"
		}
		t.add("waiting: "+name, r.Waiting[pool])
	}
	return t
}

// WaveSummaryTable formats a wave without its progress, as a wave command prints it.
func WaveSummaryTable(wave *fleet.Wave) *Table {
	t := &Table{}
	addWave(t, wave)
	return t
}

func addWave(t *Table, wave *fleet.Wave) {
	pools := "all"
	if len(wave.Pools) > 0 {
		pools = strings.Join(wave.Pools, ", ")
	}
	t.add("wave", wave.ID)
	t.add("status", wave.Status)
	t.add("reason", wave.Reason)
	t.add("pools", pools)
	t.add("started", formatTime(wave.StartedAt)+" by "+wave.Operator)
	t.add("width", fmt.Sprintf("%d, canary %d", wave.Width, wave.Canary))
	t.add("moves", wave.Moves)
	t.add("failures", wave.Failures)
}

// JobsTable formats a list of jobs.
func JobsTable(reports []controller.JobReport) *Table {
	t := &Table{}
	t.add("JOB", "TENANT", "STATE", "REASON", "WORKER", "ATTEMPTS", "DETAIL")
	for i := range reports {
		r := &reports[i]
		t.add(r.ID, r.Tenant, r.State, r.Reason, r.Worker, r.Attempts, r.Detail)
	}
	return t
}

// JobTable formats a job that was cancelled.
func JobTable(r *controller.JobReport) *Table {
	t := &Table{}
	t.add("job", r.ID)
	t.add("state", r.State)
	t.add("detail", r.Detail)
	return t
}

// ExplanationTable formats the last decision about a worker or a job.
func ExplanationTable(e *controller.Explanation) *Table {
	t := &Table{}
	t.add(e.Kind, e.Name)
	t.add("state", e.State)
	t.add("reason", e.Reason)
	t.add("detail", e.Detail)
	return t
}

// OperationTable formats an operation that was started.
func OperationTable(o *controller.OperationStarted) *Table {
	t := &Table{}
	t.add("worker", o.Worker)
	t.add("operation", o.Operation)
	return t
}

// HistoryTable formats configuration documents with the number of fields that
// each of them changed.
func HistoryTable(documents []policy.Document) *Table {
	t := &Table{}
	t.add("REVISION", "APPLIED", "AUTHOR", "COMMENT", "CHANGES")
	for i := range documents {
		document := &documents[i]
		changes := ""
		if i > 0 {
			changes = strconv.Itoa(len(policy.Diff(&documents[i-1], document)))
		}
		t.add(document.Revision, formatTime(document.AppliedAt), document.Author, document.Comment, changes)
	}
	return t
}

// ChangesTable formats the changes of a plan.
func ChangesTable(plan *Plan) *Table {
	t := &Table{}
	if len(plan.Changes) == 0 {
		t.add(fmt.Sprintf("no changes against revision %d", plan.Base))
		return t
	}
	t.add("FIELD", "OLD", "NEW", "REASON")
	for _, change := range plan.Changes {
		t.add(change.Field, change.Old, change.New, change.Reason)
	}
	return t
}

// LaggingTable formats the processes in which a revision is not in force.
func LaggingTable(lagging []controller.LaggingReport) *Table {
	t := &Table{}
	t.add("ROLE", "ADDRESS", "REVISION", "SUSPECTED", "INCARNATION")
	for _, process := range lagging {
		t.add(process.Role, process.Address, process.Revision, process.Suspected, process.Incarnation)
	}
	return t
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
