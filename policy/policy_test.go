package policy

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/settings"
)

var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func validDocument() *Document {
	doc := Example("orders", "ledger", "spare")
	doc.Exceptions = []Exception{
		{Scope: "pool/orders", Field: "min_serving", Value: 7, Reason: "evening peak"},
		{Scope: "tenant/north", Field: "weight", Value: 2, Reason: "contract", Expires: now.Add(time.Hour)},
	}
	return &doc
}

func encoded(t *testing.T, doc *Document) string {
	t.Helper()
	data, err := Encode(doc)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// expectProblems compares the fields of the problems with the expected paths.
func expectProblems(t *testing.T, err error, want ...string) {
	t.Helper()
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error %v is not a list of problems", err)
	}
	var got []string
	for _, p := range problems {
		got = append(got, p.Field)
		if p.Value == "" || p.Accepted == "" {
			t.Errorf("problem %+v lacks value or accepted range", p)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("problems at %q, want %q\n%v", got, want, err)
	}
}

// Guards against an encoded document that the strict parser refuses.
func TestParseAcceptsEncodedDocument(t *testing.T) {
	doc := validDocument()
	parsed, err := Parse("site.json", []byte(encoded(t, doc)))
	if err != nil || !reflect.DeepEqual(parsed, doc) {
		t.Fatalf("parsed %+v, error %v", parsed, err)
	}
	if err := Validate(parsed); err != nil {
		t.Error(err)
	}
}

// Guards against input that encoding/json alone would accept or report only in part.
func TestParseRefuses(t *testing.T) {
	base := encoded(t, validDocument())
	replace := func(old, updated string) string {
		if !strings.Contains(base, old) {
			t.Fatalf("document does not contain %s", old)
		}
		return strings.Replace(base, old, updated, 1)
	}
	cases := []struct {
		name, data string
		fields     []string
	}{
		{"unknown field", replace(`"reason":"evening peak"`, `"reason":"evening peak","why":{"a":[1]}`), []string{"exceptions[0].why"}},
		{"other case", replace(`"canary_workers"`, `"Canary_Workers"`), []string{"site.Canary_Workers", "site.canary_workers"}},
		{"repeated field", replace(`"canary_workers":1`, `"canary_workers":1,"canary_workers":9`), []string{"site.canary_workers"}},
		{"missing budget", replace(`"min_serving_share":0.75,`, ``), []string{"defaults.pool.min_serving_share"}},
		{"missing reason", replace(`,"reason":"evening peak"`, ``), []string{"exceptions[0].reason"}},
		{"trailing data", base + "{}", []string{""}},
		{"cut short", base[:len(base)-1], []string{""}},
		{"text for a number", replace(`"canary_workers":1`, `"canary_workers":"1"`), []string{"site.canary_workers"}},
		{"fraction", replace(`"canary_workers":1`, `"canary_workers":1.5`), []string{"site.canary_workers"}},
		{"overflow", replace(`"canary_workers":1`, `"canary_workers":99999999999999999999`), []string{"site.canary_workers"}},
		{"float overflow", replace(`"value":7`, `"value":1e999`), []string{"exceptions[0].value"}},
		{"negative revision", replace(`"revision":1`, `"revision":-1`), []string{"revision"}},
		{"null list", replace(`"exceptions":[`, `"exceptions":null,"exceptions":[`), []string{"exceptions", "exceptions"}},
		{"bad time", replace(`2026-03-01T13:00:00Z`, `tomorrow`), []string{"exceptions[1].expires"}},
		{"object for a list", replace(`"pools":[`, `"pools":{},"pools":[`), []string{"pools", "pools"}},
		{"two at once", replace(`"canary_workers":1`, `"canary_workers":true,"x":1`), []string{"site.canary_workers", "site.x"}},
		{"deep nesting", replace(`"site":{`, `"site":{"x":`+strings.Repeat("[", 100_000)), []string{"site.x", ""}},
		{"oversize", base + strings.Repeat(" ", MaxDocumentBytes), []string{""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("site.json", []byte(c.data))
			expectProblems(t, err, c.fields...)
			if !strings.Contains(err.Error(), "site.json") {
				t.Errorf("error %q does not name the file", err)
			}
		})
	}
}

// Guards against a process of an older version that refuses an accepted document.
func TestDecodeIgnoresUnknownFields(t *testing.T) {
	data := strings.Replace(encoded(t, validDocument()), `"site":{`, `"later":1,"site":{"later":2,`, 1)
	if doc, err := Decode([]byte(data)); err != nil || doc.Revision != 1 {
		t.Fatalf("decoded %+v, error %v", doc, err)
	}
}

// Guards against accepting a value out of range, and against reporting only the first
// problem.
func TestValidateCollectsAllProblems(t *testing.T) {
	doc := validDocument()
	doc.Pools = append(doc.Pools, PoolSpec{Name: "Bad Name", Spare: true}, PoolSpec{Name: "orders"})
	doc.Site.Objective = "speed"
	doc.Site.JobQuarantineCap = math.NaN()
	doc.Defaults.Pool.MinServingShare = 1.1
	doc.Defaults.Tenant.Weight = 0
	doc.Exceptions = append(doc.Exceptions,
		Exception{Scope: "pool/nowhere", Field: "min_serving", Value: 1, Reason: " \t"},
		Exception{Scope: "rack/r1", Field: "min_serving", Value: 1, Reason: "r"},
		Exception{Scope: "pool/orders", Field: "minimum", Value: 1, Reason: "r"},
		Exception{Scope: "pool/ledger", Field: "min_serving", Value: 2.5, Reason: "r"},
		Exception{Scope: "tenant/a", Field: "weight", Value: math.NaN(), Reason: "r"},
		Exception{Scope: "tenant/", Field: "weight", Value: 1, Reason: "r"},
		Exception{Scope: "pool/orders", Field: "min_serving", Value: 8, Reason: "again"},
	)
	expectProblems(t, Validate(doc), "site.objective", "site.job_quarantine_cap", "pools[3].name", "pools[4].name", "pools",
		"defaults.pool.min_serving_share", "defaults.tenant.weight", "exceptions[2].reason", "exceptions[2].scope",
		"exceptions[3].scope", "exceptions[4].field", "exceptions[5].value", "exceptions[6].value", "exceptions[7].scope", "exceptions[8]")
}

// Guards against name rules that differ between this package and settings.
func TestNameRuleMatchesSettings(t *testing.T) {
	for _, name := range []string{"a", "0-", "-a", "", "A", strings.Repeat("a", 32), strings.Repeat("a", 33), "a.b", "a\n"} {
		if namePattern.MatchString(name) != settings.ValidName(name) {
			t.Errorf("%q: rules differ", name)
		}
	}
}

// Guards against a budget larger than its pool, and against workers whose pool is not
// declared.
func TestValidateAgainstLiveFleet(t *testing.T) {
	doc := validDocument()
	sizes := map[string]int{"orders": 9, "ledger": 9, "spare": 8}
	if err := ValidateAgainstFleet(doc, FleetState{Now: now, PoolSizes: sizes}); err != nil {
		t.Fatal(err)
	}
	sizes["orders"], sizes["gone"] = 6, 1
	doc.Defaults.Pool.MinServing = 9
	err := ValidateAgainstFleet(doc, FleetState{Now: now.Add(2 * time.Hour), PoolSizes: sizes})
	expectProblems(t, err, "pools", "exceptions[0].value", "defaults.pool.min_serving", "exceptions[1].expires")
}

// Guards against values whose origin an operator cannot determine, and against
// exceptions that stay in force after they expire.
func TestExplainAndNextExpiry(t *testing.T) {
	effective := Resolve(validDocument(), now)
	got, ok := effective.Explain("pool/orders", "min_serving")
	if !ok || got.Value != 7 || got.Default != 0 || !got.Exception || got.Reason != "evening peak" {
		t.Errorf("Explain = %+v", got)
	}
	if got, ok := effective.Explain("tenant/south", "weight"); !ok || got.Exception || got.Value != 1 {
		t.Errorf("Explain = %+v", got)
	}
	if _, ok := effective.Explain("pool/nowhere", "min_serving"); ok {
		t.Error("Explain returned a value of an unknown pool")
	}
	if next := effective.NextExpiry(now); !next.Equal(now.Add(time.Hour)) {
		t.Errorf("next expiry %v", next)
	}
	later := Resolve(validDocument(), now.Add(time.Hour))
	if got, _ := later.Explain("tenant/north", "weight"); got.Exception || got.Value != 1 || !later.NextExpiry(now.Add(time.Hour)).IsZero() {
		t.Errorf("expired exception is still in force: %+v", got)
	}
}

// Guards against a lost or reused revision, and against a change that Diff does not
// report.
func TestNextRollbackAndDiff(t *testing.T) {
	base := validDocument()
	changed := Next(base, base, "", now)
	changed.Site.CanaryWorkers = 2
	changed.Exceptions[0].Value = 6
	changed.Exceptions = changed.Exceptions[:1]
	changed.Pools = append(changed.Pools, PoolSpec{Name: "new"})
	next := Next(base, changed, "ana", now)
	if next.Revision != 2 || next.Author != "ana" || base.Exceptions[0].Value != 7 {
		t.Fatalf("next %+v", next)
	}
	var lines []string
	for _, change := range Diff(base, next) {
		lines = append(lines, change.String())
	}
	want := []string{
		"site.canary_workers: 1 -> 2", "pool/new: none -> declared", "pool/orders.min_serving: 7 -> 6 (evening peak)",
		"tenant/north.weight: 2 until 2026-03-01T13:00:00Z -> default (contract)",
	}
	if !reflect.DeepEqual(lines, want) {
		t.Errorf("diff %q", lines)
	}
	back := Rollback(next, base, "ben", now)
	if back.Revision != 3 || len(Diff(base, back)) != 0 {
		t.Errorf("rollback %+v differs: %v", back, Diff(base, back))
	}
	if late := Rollback(next, base, "ben", now.Add(2*time.Hour)); len(late.Exceptions) != 1 {
		t.Errorf("rollback kept an expired exception: %+v", late.Exceptions)
	}
}

// Guards against a history that exceeds the size limit of a store value or loses its
// newest document.
func TestHistoryIsBounded(t *testing.T) {
	var history History
	for revision := Revision(1); revision <= 30; revision++ {
		doc := validDocument()
		doc.Revision = revision
		doc.Comment = strings.Repeat("x", 60_000)
		history = history.Record(doc).Record(doc)
	}
	if len(history.Documents) != MaxHistoryDocuments || history.Documents[0].Revision != 11 {
		t.Fatalf("%d documents from revision %d", len(history.Documents), history.Documents[0].Revision)
	}
	data, err := EncodeHistory(history)
	if err != nil || len(data) > MaxHistoryBytes {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
	decoded, err := DecodeHistory(data)
	if _, found := decoded.Find(30); err != nil || !found {
		t.Errorf("newest document is missing, error %v", err)
	}
}
