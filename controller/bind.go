package controller

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/gin-gonic/gin"
)

// bind decodes a JSON body strictly: unknown fields and trailing data are errors.
func bind(g *gin.Context, target any) bool {
	data, ok := readBody(g)
	if !ok {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		invalid(g, "malformed-body", err.Error())
		return false
	}
	if _, err := decoder.Token(); err != io.EOF {
		invalid(g, "malformed-body", "data after the JSON value")
		return false
	}
	return true
}
