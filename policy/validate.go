package policy

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Size limits of a document.
const (
	maxPools      = 1000
	maxExceptions = 1000
	maxTextBytes  = 500 // of reason, comment and author
)

// namePattern is the same rule as settings.ValidName; a test compares the two.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

const acceptedName = "1 to 32 characters a-z, 0-9 and -, starting with a letter or digit"

// Validate checks everything that depends on the document alone. The error is of
// type Problems and lists all errors. A document whose exceptions have expired stays
// valid, because processes must be able to load it from the store.
func Validate(doc *Document) error {
	var problems Problems
	validateText(&problems, "author", doc.Author)
	validateText(&problems, "comment", doc.Comment)
	validateSite(&problems, &doc.Site)
	validatePools(&problems, doc.Pools)
	validateFields(&problems, "defaults.pool.", poolFields, &doc.Defaults.Pool)
	validateFields(&problems, "defaults.tenant.", tenantFields, &doc.Defaults.Tenant)
	validateExceptions(&problems, doc)
	return problems.orNil()
}

func validateText(problems *Problems, field, text string) {
	if len(text) > maxTextBytes {
		problems.add(field, fmt.Sprintf("a text of %d bytes", len(text)), fmt.Sprintf("at most %d bytes", maxTextBytes))
	}
}

func validateSite(problems *Problems, site *Site) {
	if site.Objective != ObjectiveBuffer && site.Objective != ObjectiveRollout {
		problems.add("site.objective", strconv.Quote(string(site.Objective)), fmt.Sprintf("%q or %q", ObjectiveBuffer, ObjectiveRollout))
	}
	if site.SurviveLossOf != DomainRack && site.SurviveLossOf != DomainZone {
		problems.add("site.survive_loss_of", strconv.Quote(string(site.SurviveLossOf)), fmt.Sprintf("%q or %q", DomainRack, DomainZone))
	}
	validateFields(problems, "site.", siteFields, site)
}

func validateFields[T any](problems *Problems, prefix string, fields map[string]numberField[T], values *T) {
	for _, name := range sortedKeys(fields) {
		f := fields[name]
		if value := f.get(values); !f.accepts(value) {
			problems.add(prefix+name, formatNumber(value), f.acceptedRange())
		}
	}
}

func validatePools(problems *Problems, pools []PoolSpec) {
	if len(pools) > maxPools {
		problems.add("pools", fmt.Sprintf("a list of %d pools", len(pools)), fmt.Sprintf("at most %d pools", maxPools))
		return
	}
	seen := map[string]bool{}
	spares := 0
	for i, pool := range pools {
		path := fmt.Sprintf("pools[%d].name", i)
		if !namePattern.MatchString(pool.Name) {
			problems.add(path, strconv.Quote(pool.Name), acceptedName)
		}
		if seen[pool.Name] {
			problems.add(path, strconv.Quote(pool.Name), "a name that no other pool has")
		}
		seen[pool.Name] = true
		if pool.Spare {
			spares++
		}
	}
	if spares != 1 {
		problems.add("pools", fmt.Sprintf("a list with %d spare pools", spares), "exactly one pool with spare true")
	}
}

func validateExceptions(problems *Problems, doc *Document) {
	if len(doc.Exceptions) > maxExceptions {
		problems.add("exceptions", fmt.Sprintf("a list of %d exceptions", len(doc.Exceptions)), fmt.Sprintf("at most %d exceptions", maxExceptions))
		return
	}
	seen := map[overrideKey]bool{}
	for i := range doc.Exceptions {
		exception := &doc.Exceptions[i]
		path := fmt.Sprintf("exceptions[%d]", i)
		key := overrideKey{exception.Scope, exception.Field}
		if seen[key] {
			problems.add(path, exception.Scope+" "+exception.Field, "at most one exception for a scope and field")
		}
		seen[key] = true
		if strings.TrimSpace(exception.Reason) == "" {
			problems.add(path+".reason", strconv.Quote(exception.Reason), "a reason for the exception")
		}
		validateText(problems, path+".reason", exception.Reason)
		validateScope(problems, path, exception, doc.Pools)
	}
}

// overrideKey identifies the value that an exception overrides.
type overrideKey struct{ scope, field string }

func validateScope(problems *Problems, path string, exception *Exception, pools []PoolSpec) {
	kind, name, _ := strings.Cut(exception.Scope, "/")
	switch {
	case kind == scopePool && slices.ContainsFunc(pools, func(p PoolSpec) bool { return p.Name == name }):
		validateOverride(problems, path, exception, poolFields)
	case kind == scopePool:
		problems.add(path+".scope", strconv.Quote(exception.Scope), "a pool that the document declares")
	case kind == scopeTenant && namePattern.MatchString(name):
		validateOverride(problems, path, exception, tenantFields)
	case kind == scopeTenant:
		problems.add(path+".scope", strconv.Quote(exception.Scope), "a tenant name of "+acceptedName)
	default:
		problems.add(path+".scope", strconv.Quote(exception.Scope), "pool/<name> or tenant/<name>")
	}
}

func validateOverride[T any](problems *Problems, path string, exception *Exception, fields map[string]numberField[T]) {
	f, known := fields[exception.Field]
	if !known {
		problems.add(path+".field", strconv.Quote(exception.Field), "one of "+strings.Join(sortedKeys(fields), ", "))
		return
	}
	if !f.accepts(exception.Value) {
		problems.add(path+".value", formatNumber(exception.Value), f.acceptedRange())
	}
}

// FleetState is the state of the live fleet for ValidateAgainstFleet.
type FleetState struct {
	Now time.Time
	// PoolSizes holds the number of workers of every pool that has workers,
	// whatever their state.
	PoolSizes map[string]int
}

// ValidateAgainstFleet checks a proposed document against the live fleet: budgets
// fit the pools, pools with workers stay declared and no exception has already
// expired. It does not repeat the checks of Validate. A declared pool without workers
// is not checked, so that a pool can be declared before workers move into it.
func ValidateAgainstFleet(doc *Document, live FleetState) error {
	var problems Problems
	effective := Resolve(doc, live.Now)
	for _, name := range slices.Sorted(maps.Keys(live.PoolSizes)) {
		size := live.PoolSizes[name]
		if size <= 0 {
			continue
		}
		pool, declared := effective.Pool(name)
		if !declared {
			problems.add("pools", fmt.Sprintf("a list without %q", name), fmt.Sprintf("a declaration of %q while it has %d workers", name, size))
			continue
		}
		if pool.MinServing > size {
			problems.add(budgetPath(doc, effective, name), strconv.Itoa(pool.MinServing), fmt.Sprintf("0 to %d, the size of pool %q", size, name))
		}
	}
	for i := range doc.Exceptions {
		if expires := doc.Exceptions[i].Expires; !expires.IsZero() && !live.Now.Before(expires) {
			problems.add(fmt.Sprintf("exceptions[%d].expires", i), expires.Format(time.RFC3339), "a time after "+live.Now.UTC().Format(time.RFC3339))
		}
	}
	return problems.orNil()
}

// budgetPath names the field that sets the pool's absolute budget.
func budgetPath(doc *Document, effective *Effective, pool string) string {
	exception := effective.exceptions[overrideKey{scopePool + "/" + pool, "min_serving"}]
	for i := range doc.Exceptions {
		if &doc.Exceptions[i] == exception {
			return fmt.Sprintf("exceptions[%d].value", i)
		}
	}
	return "defaults.pool.min_serving"
}

func formatNumber(value float64) string {
	if math.Trunc(value) == value && math.Abs(value) < 1e15 {
		return strconv.FormatInt(int64(value), 10)
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
