package idempotency

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	// issuedPrefix marks keys that were issued by a gateway. Their format is
	// wwk1.<incarnation>.<UUIDv7>.
	issuedPrefix = "wwk1."
	uuidLength   = 36
	// MaxKeyLength bounds the length of a key in bytes.
	MaxKeyLength = 255
)

// IssuedKey returns a key that is bound to the incarnation of its issuer. The
// identifier must be a UUIDv7.
func IssuedKey(incarnation string, id uuid.UUID) string {
	return issuedPrefix + incarnation + "." + id.String()
}

// parseIssuedKey returns the parts of an issued key.
func parseIssuedKey(key string) (incarnation string, issuedAt time.Time, ok bool) {
	rest, found := strings.CutPrefix(key, issuedPrefix)
	if !found || len(rest) < uuidLength+2 || rest[len(rest)-uuidLength-1] != '.' {
		return "", time.Time{}, false
	}
	issuedAt, ok = issueTime(rest[len(rest)-uuidLength:])
	return rest[:len(rest)-uuidLength-1], issuedAt, ok
}

// issueTime returns the timestamp of a UUIDv7. It reports false for other strings,
// which are opaque keys.
func issueTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var milliseconds int64
	for _, b := range id[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}

// ValidKey reports whether a string is a valid key: 1 to 255 printable ASCII
// characters without spaces.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}
