package node

import (
	"github.com/google/uuid"
)

// Role is the kind of process.
type Role string

// The roles.
const (
	RoleGateway    Role = "gateway"
	RoleController Role = "controller"
)

// Identity describes a process to its peers and in the store.
type Identity struct {
	Incarnation      string `json:"incarnation"` // unique per start
	Role             Role   `json:"role"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address"`   // ip:port for drpc
	PublicAddress    string `json:"public_address"` // ip:port towards callers or operators
}

// NewIncarnation returns a unique ID for this start of a process. It is a
// UUIDv7, so that IDs sort by start time.
func NewIncarnation() string { return uuid.Must(uuid.NewV7()).String() }

// NewWriteID returns a unique ID for one store write.
func NewWriteID() string { return uuid.NewString() }
