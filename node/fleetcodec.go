package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// maxFleetBytes limits the decompressed size of a fleet document.
const maxFleetBytes = 16 << 20

var errFleetTooLarge = errors.New("node: fleet document exceeds 16 MB")

// EncodeFleet encodes the fleet document as gzip-compressed JSON, the format of
// the store and of the peer protocol. Compression pays off because every process
// receives the whole document with every write and its rows are similar.
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

// DecodeFleet decodes a fleet document, either gzip-compressed or plain JSON.
func DecodeFleet(data []byte) (*fleet.Document, error) {
	plain := data
	if bytes.HasPrefix(data, []byte{0x1f, 0x8b}) { // magic number of gzip; no JSON text starts with it
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
