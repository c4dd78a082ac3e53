package ctl

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/controller"
)

// RefusedError is an error response of a controller.
type RefusedError struct {
	Status int // HTTP status
	controller.ErrorBody
}

var statusTexts = map[int]string{
	http.StatusBadRequest: "invalid", http.StatusNotFound: "not found", http.StatusConflict: "conflict",
	http.StatusRequestEntityTooLarge: "too large", http.StatusMisdirectedRequest: "no active controller",
	http.StatusServiceUnavailable: "unavailable, nothing was changed", http.StatusGatewayTimeout: "the result is unknown",
}

func (e *RefusedError) Error() string {
	text, known := statusTexts[e.Status]
	if !known {
		text = fmt.Sprintf("status %d", e.Status)
	}
	text += " (" + e.Reason + ")"
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// UnreachableError reports a call that no controller responded to.
type UnreachableError struct {
	Failures []Failure
	Unknown  bool // a controller may have executed the call
}

func (e *UnreachableError) Error() string {
	if len(e.Failures) == 0 {
		return "no controller: set --controller or WAXWING_CONTROLLER to one or more addresses of the form http://ip:port"
	}
	lines := make([]string, len(e.Failures))
	for i, failure := range e.Failures {
		lines[i] = failure.Err.Error()
	}
	text := "no controller answered"
	if e.Unknown {
		text = "the result is unknown; look at the state before repeating the command"
	}
	return text + ": " + strings.Join(lines, "; ")
}

func (r result) value() (any, error) {
	switch {
	case r.unknown || r.response.Status == 0:
		return nil, &UnreachableError{Failures: r.failures, Unknown: r.unknown}
	case r.response.Status != http.StatusOK:
		return nil, &RefusedError{Status: r.response.Status, ErrorBody: r.response.Refusal}
	}
	return r.response.Value, nil
}
