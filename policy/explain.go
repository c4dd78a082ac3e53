package policy

import (
	"strings"
	"time"
)

// Explanation is an effective value and its origin.
type Explanation struct {
	Scope     string    `json:"scope"`
	Field     string    `json:"field"`
	Value     float64   `json:"value"`
	Default   float64   `json:"default"`
	Exception bool      `json:"exception"` // false if the default is in force
	Reason    string    `json:"reason,omitempty"`
	Expires   time.Time `json:"expires,omitzero"`
	Revision  Revision  `json:"revision"`
}

// Explain returns the value of a numeric field in a scope and whether it is a
// default or an exception. The scope is "site", "pool/<name>" or
// "tenant/<name>". It reports false for an unknown scope or field.
func (e *Effective) Explain(scope, field string) (Explanation, bool) {
	value, defaultValue, ok := e.lookup(scope, field)
	if !ok {
		return Explanation{}, false
	}
	explanation := Explanation{Scope: scope, Field: field, Value: value, Default: defaultValue, Revision: e.revision}
	if exception := e.exceptions[overrideKey{scope, field}]; exception != nil {
		explanation.Exception = true
		explanation.Reason = exception.Reason
		explanation.Expires = exception.Expires
	}
	return explanation, true
}

func (e *Effective) lookup(scope, name string) (value, defaultValue float64, ok bool) {
	kind, owner, _ := strings.Cut(scope, "/")
	switch kind {
	case "site":
		if f, known := siteFields[name]; known && owner == "" {
			return f.get(&e.site), f.get(&e.site), true
		}
	case scopePool:
		pool, declared := e.pools[owner]
		if f, known := poolFields[name]; known && declared {
			return f.get(&pool), f.get(&e.poolDefaults), true
		}
	case scopeTenant:
		tenant := e.Tenant(owner)
		if f, known := tenantFields[name]; known && namePattern.MatchString(owner) {
			return f.get(&tenant), f.get(&e.tenantDefaults), true
		}
	}
	return 0, 0, false
}

// NextExpiry returns the earliest time after now at which an exception expires and
// the document has to be resolved again. The zero time means never.
func (e *Effective) NextExpiry(now time.Time) time.Time {
	var next time.Time
	for i := range e.allExceptions {
		expires := e.allExceptions[i].Expires
		if expires.After(now) && (next.IsZero() || expires.Before(next)) {
			next = expires
		}
	}
	return next
}
