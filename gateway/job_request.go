package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

// Limits of a job submission. The controller checks the submission against the pool.
const (
	maxJobBytes     = 64 << 10
	maxMilliCores   = 1_000_000
	maxRunTimeMS    = 30 * 24 * 60 * 60 * 1000
	maxJobIDLength  = placement.MaxNameBytes
	acceptedClasses = "one of urgent, quick, long"
)

// jobRefusal describes a job request that the gateway refuses.
type jobRefusal struct {
	status                         int
	detail                         string
	header, field, value, accepted string
}

func badField(field, value, accepted string) *jobRefusal {
	return &jobRefusal{
		status: http.StatusBadRequest, field: field, value: value, accepted: accepted,
		detail: fmt.Sprintf("field %s has the value %s; accepted is %s", field, value, accepted),
	}
}

// jobTenant returns the tenant of a job request. It refuses a request without a
// valid tenant.
func jobTenant(c *gin.Context) (string, bool) {
	tenant, refused := singleHeader(c.Request, headerTenant, settings.NameFormat)
	if refused == nil && !settings.ValidName(tenant) {
		refused = badHeader(headerTenant, tenant, settings.NameFormat)
	}
	if refused != nil {
		refuseJob(c, jobRefusal{
			status: refused.status, detail: refused.Message, header: refused.Header, value: refused.Value, accepted: refused.Accepted,
		})
		return "", false
	}
	return tenant, true
}

func readJob(c *gin.Context) (*JobRequest, *jobRefusal) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxJobBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &jobRefusal{
			status: http.StatusRequestEntityTooLarge, detail: fmt.Sprintf("the body is larger than %d bytes", maxJobBytes),
		}
	case err != nil:
		return nil, &jobRefusal{status: http.StatusBadRequest, detail: "the body ended early or is malformed"}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	request := &JobRequest{Class: "long"}
	if err := decoder.Decode(request); err != nil {
		return nil, malformedJob(err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself
		return nil, &jobRefusal{status: http.StatusBadRequest, detail: "the body has data after the JSON object"}
	}
	return request, nil
}

// acceptedNumbers describes the accepted values of numeric fields.
var acceptedNumbers = map[string]string{
	"milli_cores":  fmt.Sprintf("a whole number from 1 to %d", maxMilliCores),
	"run_time_ms":  fmt.Sprintf("a whole number from 0 to %d", int64(maxRunTimeMS)),
	"memory_mb":    "a whole number from 0 to 4294967295",
	"accelerators": "a whole number from 0 to 4294967295",
	"priority":     "a whole number from -2147483648 to 2147483647",
}

// malformedJob converts a decoding error. It names the field and the accepted values
// if the decoder reports the field.
func malformedJob(err error) *jobRefusal {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) && typed.Field != "" {
		accepted, known := acceptedNumbers[typed.Field]
		if !known {
			accepted = "a JSON " + typed.Type.String()
		}
		return badField(typed.Field, strings.TrimPrefix(typed.Value, "number "), accepted)
	}
	return &jobRefusal{status: http.StatusBadRequest, detail: "the body is not a JSON object of a job: " + strings.TrimPrefix(err.Error(), "json: ")}
}

// check returns a refusal for the first invalid field, or nil.
func (r *JobRequest) check() *jobRefusal {
	switch {
	case len(r.ID) > maxJobIDLength || strings.ContainsFunc(r.ID, invalidInJobID):
		return badField("id", strconv.Quote(r.ID), fmt.Sprintf("up to %d printable ASCII characters without spaces and /", maxJobIDLength))
	case !settings.ValidName(r.Pool):
		return badField("pool", strconv.Quote(r.Pool), settings.NameFormat)
	case r.Class != "urgent" && r.Class != "quick" && r.Class != "long":
		return badField("class", strconv.Quote(r.Class), acceptedClasses)
	case r.MilliCores == 0 || r.MilliCores > maxMilliCores:
		return badField("milli_cores", strconv.FormatUint(uint64(r.MilliCores), 10), acceptedNumbers["milli_cores"])
	case r.RunTimeMS < 0 || r.RunTimeMS > maxRunTimeMS:
		return badField("run_time_ms", strconv.FormatInt(r.RunTimeMS, 10), acceptedNumbers["run_time_ms"])
	default:
		return r.checkLengths()
	}
}

// checkLengths returns a refusal for the first text that is too long to be stored.
func (r *JobRequest) checkLengths() *jobRefusal {
	for _, text := range []struct {
		field, value string
		maxBytes     int
	}{
		{"family", r.Family, placement.MaxNameBytes},
		{"availability_zone", r.AvailabilityZone, placement.MaxNameBytes},
		{"payload", r.Payload, placement.MaxPayloadBytes},
	} {
		if len(text.value) > text.maxBytes {
			return badField(text.field, fmt.Sprintf("a text of %d bytes", len(text.value)), fmt.Sprintf("up to %d bytes", text.maxBytes))
		}
	}
	return nil
}

// invalidInJobID reports whether a character is not allowed in a job ID because it
// would need escaping in paths and logs.
func invalidInJobID(r rune) bool { return r <= ' ' || r > '~' || r == '/' }

// jobDetails explains the refusal reasons for which the controller gives no detail.
var jobDetails = map[outcome.Reason]string{
	outcome.ReasonUnknownPool: "field pool names no pool of the configuration",
	"too-large":               "milli_cores, memory_mb or accelerators exceed what a worker of the pool offers to jobs",
	"quota-too-small":         "milli_cores exceeds the whole quota of the tenant (job_cores)",
	outcome.ReasonQuota:       "the tenant has as many waiting jobs as its quota allows (jobs_pending)",
	"no-worker-in-zone":       "the pool has no worker in the availability_zone",
	"no-accelerator":          "no worker of the pool has as many accelerators",
	"no-workers":              "the pool has no workers",
	"job-mismatch":            "the id was used for a job with other content",
	"page-full":               "the site holds too many jobs; repeat later or with another id",
	"not-found":               "the tenant has no job with this id",
}

func jobDetail(answer peerapi.JobResponse) string {
	if answer.Detail != "" || answer.Outcome.Kind != outcome.NotRun {
		return answer.Detail
	}
	return jobDetails[answer.Outcome.Reason]
}

func refuseJob(c *gin.Context, refused jobRefusal) {
	if refused.status == http.StatusRequestEntityTooLarge {
		c.Header("Connection", "close") // the rest of the body is not read
	}
	writeJob(c, refused.status, JobResponse{
		Outcome: outcome.NotRun.String(), Reason: string(outcome.ReasonBadRequest), Detail: refused.detail,
		Header: refused.header, Field: refused.field, Value: refused.value, Accepted: refused.accepted,
	})
}

// writeJob writes a response with the same outcome headers as proxied requests have.
func writeJob(c *gin.Context, status int, body JobResponse) {
	c.Header(headerOutcome, body.Outcome)
	if body.Reason != "" {
		c.Header(headerReason, body.Reason)
	}
	c.JSON(status, body)
}
