package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// maxFleetBytes bounds a fleet document after decompression.
const maxFleetBytes = 16 << 20

var errFleetTooLarge = errors.New("node: fleet document exceeds 16 MB")

// EncodeFleet returns the form of the fleet document in the store and in the
// peer exchange: JSON, compressed with gzip. Every process receives the whole
// document with every write, and its rows resemble each other.
func EncodeFleet(doc *fleet.Document) ([]byte, error) {
	var out bytes.Buffer
	compressed := gzip.NewWriter(&out)
	if err := json.NewEncoder(compressed).Encode(doc); err != nil {
		return nil, err
	}
	if err := compressed.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecodeFleet parses a fleet document, compressed or as plain JSON.
func DecodeFleet(data []byte) (*fleet.Document, error) {
	plain := data
	if bytes.HasPrefix(data, []byte{0x1f, 0x8b}) { // of gzip; JSON never starts so
		reader, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		if plain, err = io.ReadAll(io.LimitReader(reader, maxFleetBytes+1)); err != nil {
			return nil, err
		}
	}
	if len(plain) > maxFleetBytes {
		return nil, errFleetTooLarge
	}
	document := new(fleet.Document)
	if err := json.Unmarshal(plain, document); err != nil {
		return nil, err
	}
	return document, nil
}
