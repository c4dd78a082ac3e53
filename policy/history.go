package policy

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Limits of the stored history. MaxHistoryBytes leaves room below the store's limit of
// 1 MB per value.
const (
	MaxHistoryDocuments = 20
	MaxHistoryBytes     = 900_000
)

// History is the stored list of earlier documents, oldest first. A writer records
// the base before it stores the successor, so that every accepted document is either
// in the history or the current one.
type History struct {
	WriteID   string     `json:"write_id,omitempty"`
	Documents []Document `json:"documents"`
}

// Record returns a history that also contains the document. Recording a revision
// twice changes nothing. The oldest documents are dropped beyond MaxHistoryDocuments.
func (h History) Record(doc *Document) History {
	if _, found := h.Find(doc.Revision); found {
		return h
	}
	documents := append(slices.Clone(h.Documents), *doc)
	slices.SortStableFunc(documents, func(a, b Document) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	h.Documents = documents[max(0, len(documents)-MaxHistoryDocuments):]
	return h
}

// Find returns the document with the revision.
func (h History) Find(revision Revision) (*Document, bool) {
	for i := range h.Documents {
		if h.Documents[i].Revision == revision {
			return &h.Documents[i], true
		}
	}
	return nil, false
}

// EncodeHistory returns the stored form. It drops the oldest documents until
// the value fits MaxHistoryBytes.
func EncodeHistory(history History) ([]byte, error) {
	for {
		data, err := json.Marshal(history)
		if err != nil {
			return nil, errors.Newf("encode configuration history: %w", err)
		}
		if len(data) <= MaxHistoryBytes || len(history.Documents) == 0 {
			return data, nil
		}
		history.Documents = history.Documents[1:]
	}
}

// DecodeHistory reads the stored form. Empty data is an empty history.
func DecodeHistory(data []byte) (History, error) {
	var history History
	if len(data) == 0 {
		return history, nil
	}
	if err := json.Unmarshal(data, &history); err != nil {
		return History{}, errors.Newf("decode configuration history: %w", err)
	}
	return history, nil
}
