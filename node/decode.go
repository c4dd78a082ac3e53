package node

import (
	"encoding/json"
	"time"

	"github.com/waxwingbridge/waxwingbridge/exchange"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// decodeChange converts a change under the shared prefix into an event. It runs on
// the I/O goroutine, so that the control loop receives typed documents only. It
// returns nil for unknown keys.
func decodeChange(keys Keys, change store.Event) Event {
	if change.Progress {
		return StoreConfirmed{At: time.Now()}
	}
	value := change.Value
	switch value.Key {
	case keys.Leader():
		if change.Deleted {
			return LeaderSeen{}
		}
		return decodeLeader(value)
	case keys.Config(), keys.Fleet(), keys.Homes():
		if change.Deleted {
			return nil // documents are never deleted; the current one stays in force
		}
	}
	switch value.Key {
	case keys.Config():
		return decodeConfig(value.Key, value.Data, value.Revision)
	case keys.Fleet():
		return decodeFleet(value.Key, value.Data, value.Revision)
	case keys.Homes():
		return decodeHomes(value.Key, value.Data, value.Revision)
	default:
		return nil
	}
}

// DecodeFetched decodes a document that was fetched from a peer. It returns nil
// if the fetch failed or the peer holds no document.
func DecodeFetched(keys Keys, fetched *exchange.Fetched) Event {
	if fetched.Err != nil || len(fetched.Document) == 0 {
		return nil
	}
	switch fetched.Kind {
	case membership.DocumentConfig:
		return decodeConfig(keys.Config(), fetched.Document, 0)
	case membership.DocumentFleet:
		return decodeFleet(keys.Fleet(), fetched.Document, 0)
	default:
		return decodeHomes(keys.Homes(), fetched.Document, 0)
	}
}

func decodeConfig(key string, data []byte, revision store.Revision) Event {
	document, err := policy.Decode(data)
	if err != nil {
		return ValueInvalid{key, err}
	}
	return ConfigSeen{document, revision}
}

func decodeFleet(key string, data []byte, revision store.Revision) Event {
	document, err := DecodeFleet(data)
	if err != nil {
		return ValueInvalid{key, err}
	}
	return FleetSeen{document, revision}
}

func decodeHomes(key string, data []byte, revision store.Revision) Event {
	homes := new(idempotency.Homes)
	if err := json.Unmarshal(data, homes); err != nil {
		return ValueInvalid{key, err}
	}
	return HomesSeen{homes, revision}
}

func decodeLeader(value store.Value) Event {
	var identity Identity
	if err := json.Unmarshal(value.Data, &identity); err != nil {
		return ValueInvalid{value.Key, err}
	}
	return LeaderSeen{identity, value.Revision}
}
