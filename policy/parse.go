package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes bounds an encoded document. The store holds values up to
// 1 MB, and a peer fetches a document in one message.
const MaxDocumentBytes = 256 << 10

// Parse decodes an operator's document strictly. Unknown, repeated and missing
// fields, wrong types, numbers that overflow, trailing data and documents over
// MaxDocumentBytes are errors. A syntax error stops parsing; all other problems are
// collected. The file name is only used in the problems.
//
// Parse does not check ranges; Validate does.
func Parse(file string, data []byte) (*Document, error) {
	if err := checkSize(data); err != nil {
		return nil, WithFile(file, err)
	}
	if err := checkSchema(data, reflect.TypeFor[Document]()); err != nil {
		return nil, WithFile(file, err)
	}
	return decode(file, data)
}

// Decode reads a document that a controller has already accepted, from the
// store or from a peer. It ignores unknown fields, so that processes of an older
// version accept documents to which a newer version has added fields.
func Decode(data []byte) (*Document, error) {
	if err := checkSize(data); err != nil {
		return nil, err
	}
	return decode("", data)
}

func decode(file string, data []byte) (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, Problems{{File: file, Value: err.Error(), Accepted: "a configuration document"}}
	}
	return doc, nil
}

func checkSize(data []byte) error {
	if len(data) <= MaxDocumentBytes {
		return nil
	}
	return Problems{{Value: fmt.Sprintf("a size of %d bytes", len(data)), Accepted: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)}}
}

// Encode returns the stored form of the document. Lists are never null.
func Encode(doc *Document) ([]byte, error) {
	full := *doc
	if full.Pools == nil {
		full.Pools = []PoolSpec{}
	}
	if full.Exceptions == nil {
		full.Exceptions = []Exception{}
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(&full); err != nil {
		return nil, errors.Newf("encode configuration revision %d: %w", doc.Revision, err)
	}
	data := bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))
	if err := checkSize(data); err != nil {
		return nil, err
	}
	return data, nil
}
