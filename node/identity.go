package node

import (
	"github.com/google/uuid"
)

// Role is the kind of a process.
type Role string

// The roles.
const (
	RoleGateway    Role = "gateway"
	RoleController Role = "controller"
)

// Identity describes a process to its peers and in the store.
type Identity struct {
	Incarnation      string `json:"incarnation"` // unique ID of this start of the process
	Role             Role   `json:"role"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address"`   // ip:port of the peer protocol (drpc)
	PublicAddress    string `json:"public_address"` // ip:port for callers (gateway) or operators (controller)
}

// NewIncarnation returns a unique ID for one start of a process. IDs are UUIDv7,
// so that they sort by start time.
func NewIncarnation() string { return uuid.Must(uuid.NewV7()).String() }

// NewWriteID returns a unique ID for one write to the store.
func NewWriteID() string { return uuid.NewString() }
