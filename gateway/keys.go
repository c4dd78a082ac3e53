package gateway

import (
	"github.com/google/uuid"

	"github.com/waxwingbridge/waxwingbridge/idempotency"
)

// newKeys issues keys that are bound to the incarnation.
func newKeys(incarnation string, count int) ([]string, error) {
	keys := make([]string, count)
	for i := range keys {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		keys[i] = idempotency.IssuedKey(incarnation, id)
	}
	return keys, nil
}
