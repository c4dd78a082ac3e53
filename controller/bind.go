package controller

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/gin-gonic/gin"
)

// bind decodes a JSON request body. Unknown fields and trailing data are errors. If
// it returns false, it has sent the response.
func bind(g *gin.Context, target any) bool {
	data, ok := readBody(g)
	if !ok {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		respondInvalid(g, "malformed-body", err.Error())
		return false
	}
	if _, err := decoder.Token(); err != io.EOF {
		respondInvalid(g, "malformed-body", "data after the JSON value")
		return false
	}
	return true
}
