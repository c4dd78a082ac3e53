// Package routing assigns waiting requests to targets: quotas, weighted fair
// queueing between tenants, classes, retry budgets, target selection and outlier
// ejection. It does no I/O and takes the time only from its arguments, so that
// systems built on it are deterministic.
package routing

import (
	"github.com/cockroachdb/errors"
)

// Class is the urgency of a request. Lower values are dispatched first.
type Class uint8

// The classes of requests.
const (
	Urgent Class = iota
	Quick
	Long
	// ClassCount is the number of classes, for arrays indexed by class.
	ClassCount = 3
)

// ClassNames lists the accepted names, for error messages.
const ClassNames = "urgent, quick, long"

// String returns the name used in headers and metrics.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Quick:
		return "quick"
	case Long:
		return "long"
	default:
		return "invalid"
	}
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for class := Urgent; class < ClassCount; class++ {
		if class.String() == name {
			return class, nil
		}
	}
	return 0, errors.Newf("%q is not one of %s", name, ClassNames)
}
