package etcdgateway

import "bytes"

// The write ID travels in front of the value: four marker bytes, one byte with
// the length of the write ID, the write ID, then the data as it is. A value
// without the marker was written by another program and has no write ID.
var envelopeMarker = []byte{0, 'w', 'b', 1}

// maxWriteIDBytes is the largest length that the envelope can express.
const maxWriteIDBytes = 255

func seal(writeID string, data []byte) []byte {
	sealed := make([]byte, 0, len(envelopeMarker)+1+len(writeID)+len(data))
	sealed = append(sealed, envelopeMarker...)
	sealed = append(sealed, byte(len(writeID)))
	sealed = append(sealed, writeID...)
	return append(sealed, data...)
}

func open(sealed []byte) (writeID string, data []byte) {
	rest, marked := bytes.CutPrefix(sealed, envelopeMarker)
	if !marked || len(rest) == 0 {
		return "", sealed
	}
	length := int(rest[0])
	if len(rest) < 1+length {
		return "", sealed
	}
	return string(rest[1 : 1+length]), rest[1+length:]
}
