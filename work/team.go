package work

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// Team is a customer's organization, which shares the fleet with other teams.
type Team struct {
	Name string
	// Weight is the team's share of a full pool relative to the other teams, and the number
	// of jobs a second that it may expect to be served.
	Weight float64
	// Cap bounds what the team may have running on all workers together. A resource of 0
	// has no limit.
	Cap  placement.Resources
	Keys []KeyHash
}

// KeyHash is the SHA-256 hash of an API key. Keys themselves are neither kept nor logged.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// SetTeams makes the queues that are not public require a key of one of the teams. If two
// teams have the same key, it belongs to the first.
func (m *Manifest) SetTeams(teams []Team) {
	m.Teams, m.hasTeams = teams, true
	m.teamByName, m.teamByKey = make(map[string]int, len(teams)), map[KeyHash]int{}
	for i := range teams {
		m.teamByName[teams[i].Name] = i
		for _, key := range teams[i].Keys {
			if _, taken := m.teamByKey[key]; !taken {
				m.teamByKey[key] = i
			}
		}
	}
}

// HasTeams reports whether the manifest lists teams, so that calls need a key.
func (m *Manifest) HasTeams() bool { return m.hasTeams }

// Team returns the team with the name, or nil.
func (m *Manifest) Team(name string) *Team {
	if i, ok := m.teamByName[name]; ok {
		return &m.Teams[i]
	}
	return nil
}

// Authenticate returns the name of the team on whose behalf a call with the key may use
// the queue. The name is empty for a public queue, and for any queue of a manifest without
// teams. It returns false if the key is unknown.
func (m *Manifest) Authenticate(queue *Queue, key string) (team string, ok bool) {
	if !m.hasTeams || queue.Public {
		return "", true
	}
	// The index is searched by hash, so that its timing tells nothing about a key.
	hash := HashKey(key)
	i, known := m.teamByKey[hash]
	if !known {
		return "", false
	}
	for _, own := range m.Teams[i].Keys {
		if subtle.ConstantTimeCompare(own[:], hash[:]) == 1 {
			return m.Teams[i].Name, true
		}
	}
	return "", false
}
