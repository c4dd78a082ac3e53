package policy

import (
	"strings"
	"time"
)

// Effective holds the values in force: the defaults, overridden by the exceptions
// that have not expired. It is immutable and safe for concurrent reads.
type Effective struct {
	revision       Revision
	writeID        string
	site           Site
	poolSpecs      []PoolSpec
	pools          map[string]Pool
	tenants        map[string]Tenant // only tenants with exceptions
	tenantDefaults Tenant
	poolDefaults   Pool

	exceptions    map[overrideKey]*Exception // in force
	allExceptions []Exception                // of the document
}

// Kinds of scope: the part of a scope before the slash.
const (
	scopePool   = "pool"
	scopeTenant = "tenant"
)

// Resolve computes the effective values at the given time. The document must be valid
// and must not be modified afterwards.
func Resolve(doc *Document, now time.Time) *Effective {
	e := &Effective{
		revision: doc.Revision, writeID: doc.WriteID, site: doc.Site, poolSpecs: doc.Pools,
		pools: make(map[string]Pool, len(doc.Pools)), tenants: map[string]Tenant{}, tenantDefaults: doc.Defaults.Tenant,
		poolDefaults: doc.Defaults.Pool, exceptions: map[overrideKey]*Exception{}, allExceptions: doc.Exceptions,
	}
	for _, spec := range doc.Pools {
		e.pools[spec.Name] = doc.Defaults.Pool
	}
	for i := range doc.Exceptions {
		exception := &doc.Exceptions[i]
		if exception.Expires.IsZero() || now.Before(exception.Expires) {
			e.apply(exception)
		}
	}
	return e
}

func (e *Effective) apply(exception *Exception) {
	e.exceptions[overrideKey{exception.Scope, exception.Field}] = exception
	kind, name, _ := strings.Cut(exception.Scope, "/")
	switch kind {
	case scopePool:
		pool, ok := e.pools[name]
		if field := poolFields[exception.Field]; ok && field.set != nil {
			field.set(&pool, exception.Value)
			e.pools[name] = pool
		}
	case scopeTenant:
		tenant := e.Tenant(name)
		if field := tenantFields[exception.Field]; field.set != nil {
			field.set(&tenant, exception.Value)
			e.tenants[name] = tenant
		}
	}
}

// Revision returns the revision of the document.
func (e *Effective) Revision() Revision { return e.revision }

// Site returns the values of the site.
func (e *Effective) Site() Site { return e.site }

// Pools returns the declared pools in the order of the document. The caller
// must not modify the slice.
func (e *Effective) Pools() []PoolSpec { return e.poolSpecs }

// Pool returns the effective policy of a pool, and false for an undeclared one.
func (e *Effective) Pool(name string) (Pool, bool) {
	pool, ok := e.pools[name]
	return pool, ok
}

// Tenant returns the effective policy of a tenant. Tenants need no declaration.
func (e *Effective) Tenant(name string) Tenant {
	if tenant, ok := e.tenants[name]; ok {
		return tenant
	}
	return e.tenantDefaults
}
