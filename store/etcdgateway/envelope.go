package etcdgateway

import "bytes"

// envelopeMarker starts a stored value. It is followed by one byte with the length
// of the write ID, the write ID, and the unmodified data. A value without the
// marker was written by another program and has no write ID.
var envelopeMarker = []byte{0, 'w', 'b', 1}

// maxWriteIDBytes is the maximum that the one-byte length field can express.
const maxWriteIDBytes = 255

func encodeEnvelope(writeID string, data []byte) []byte {
	sealed := make([]byte, 0, len(envelopeMarker)+1+len(writeID)+len(data))
	sealed = append(sealed, envelopeMarker...)
	sealed = append(sealed, byte(len(writeID)))
	sealed = append(sealed, writeID...)
	return append(sealed, data...)
}

func decodeEnvelope(sealed []byte) (writeID string, data []byte) {
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
