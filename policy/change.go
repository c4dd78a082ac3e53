package policy

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Change is one difference between two documents, in the form shown to operators.
type Change struct {
	Field  string `json:"field"` // such as site.canary_workers or pool/orders.min_serving
	Old    string `json:"old"`
	New    string `json:"new"`
	Reason string `json:"reason,omitempty"` // of the exception that was added, changed or removed
}

// String formats the change for operators and logs.
func (c Change) String() string {
	text := fmt.Sprintf("%s: %s -> %s", c.Field, c.Old, c.New)
	if c.Reason != "" {
		text += " (" + c.Reason + ")"
	}
	return text
}

// Diff returns the differences between two documents in the values of the site, the
// pools, the defaults and the exceptions. It ignores revision, author and comment.
func Diff(before, after *Document) []Change {
	var changes []Change
	add := func(field, old, updated, reason string) {
		if old != updated {
			changes = append(changes, Change{field, old, updated, reason})
		}
	}
	add("site.objective", string(before.Site.Objective), string(after.Site.Objective), "")
	add("site.survive_loss_of", string(before.Site.SurviveLossOf), string(after.Site.SurviveLossOf), "")
	changes = diffFields(changes, "site.", siteFields, &before.Site, &after.Site)
	changes = diffPools(changes, before.Pools, after.Pools)
	changes = diffFields(changes, "defaults.pool.", poolFields, &before.Defaults.Pool, &after.Defaults.Pool)
	changes = diffFields(changes, "defaults.tenant.", tenantFields, &before.Defaults.Tenant, &after.Defaults.Tenant)
	return diffExceptions(changes, before.Exceptions, after.Exceptions)
}

func diffFields[T any](changes []Change, prefix string, fields map[string]numberField[T], before, after *T) []Change {
	for _, name := range sortedKeys(fields) {
		old, updated := fields[name].get(before), fields[name].get(after)
		if old != updated {
			changes = append(changes, Change{Field: prefix + name, Old: formatNumber(old), New: formatNumber(updated)})
		}
	}
	return changes
}

func diffPools(changes []Change, before, after []PoolSpec) []Change {
	old, updated := map[string]string{}, map[string]string{}
	for _, pool := range before {
		old["pool/"+pool.Name] = describePool(pool)
	}
	for _, pool := range after {
		updated["pool/"+pool.Name] = describePool(pool)
	}
	for _, name := range unionKeys(old, updated) {
		if old[name] != updated[name] {
			changes = append(changes, Change{Field: name, Old: orNone(old[name]), New: orNone(updated[name])})
		}
	}
	return changes
}

func describePool(pool PoolSpec) string {
	if pool.Spare {
		return "declared as spare pool"
	}
	return "declared"
}

func diffExceptions(changes []Change, before, after []Exception) []Change {
	old, updated := byOverrideKey(before), byOverrideKey(after)
	for _, name := range unionKeys(old, updated) {
		from, to := describeException(old[name]), describeException(updated[name])
		reason := updated[name].Reason
		if reason == "" {
			reason = old[name].Reason
		}
		if from != to || old[name].Reason != updated[name].Reason {
			changes = append(changes, Change{Field: name, Old: from, New: to, Reason: reason})
		}
	}
	return changes
}

func byOverrideKey(exceptions []Exception) map[string]Exception {
	found := map[string]Exception{}
	for _, exception := range exceptions {
		found[exception.Scope+"."+exception.Field] = exception
	}
	return found
}

func describeException(exception Exception) string {
	if exception.Scope == "" {
		return "default"
	}
	text := formatNumber(exception.Value)
	if !exception.Expires.IsZero() {
		text += " until " + exception.Expires.UTC().Format(time.RFC3339)
	}
	return text
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}

// Next returns the successor of base with the content of changed. The caller
// sets the write ID before it stores the document.
func Next(base, changed *Document, author string, now time.Time) *Document {
	next := *changed
	next.Pools = slices.Clone(changed.Pools)
	next.Exceptions = slices.Clone(changed.Exceptions)
	next.Revision = base.Revision + 1
	next.WriteID = ""
	next.Author = author
	next.AppliedAt = now.UTC()
	return &next
}

// Rollback returns a successor of current with the content of old. It omits
// exceptions that have expired since: they have no effect, and ValidateAgainstFleet
// refuses them.
func Rollback(current, old *Document, author string, now time.Time) *Document {
	next := Next(current, old, author, now)
	next.Comment = "rollback to revision " + strconv.FormatUint(uint64(old.Revision), 10)
	next.Exceptions = slices.DeleteFunc(next.Exceptions, func(exception Exception) bool {
		return !exception.Expires.IsZero() && !now.Before(exception.Expires)
	})
	return next
}
