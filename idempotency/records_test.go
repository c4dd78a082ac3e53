package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
)

// Guards against different requests with the same fingerprint.
func TestFingerprintSeparatesParts(t *testing.T) {
	seen := map[Fingerprint]string{}
	for _, parts := range [][4]string{
		{"acme", "POST", "/a", "x"},
		{"acm", "ePOST", "/a", "x"},
		{"acme", "POST", "/ax", ""},
		{"acme", "POST", "/", "ax"},
		{"acme", "PUT", "/a", "x"},
		{"other", "POST", "/a", "x"},
		{"acme", "POST", "/a", "y"},
	} {
		fingerprint := FingerprintOf(parts[0], parts[1], parts[2], []byte(parts[3]))
		if other, ok := seen[fingerprint]; ok {
			t.Errorf("%v and %s share a fingerprint", parts, other)
		}
		seen[fingerprint] = fmt.Sprint(parts)
	}
}

// Guards against unbounded memory for responses, and against reporting a request as
// completed after its response was evicted.
func TestOldestResponsesAreEvictedBeyondTheBound(t *testing.T) {
	var records Records[string]
	const size = MaxResponseBytes / 4
	for i := range 6 {
		id, ok := records.Begin(ScopedKey{"orders", fmt.Sprint(i)}, Fingerprint{}, 1)
		if !ok {
			t.Fatal("table is full")
		}
		records.Finish(id, outcome.Complete(), fmt.Sprint(i), size, testNow.Add(time.Duration(i)*time.Second))
	}
	if records.ResponseBytes() > MaxResponseBytes || records.Len() != 6 {
		t.Fatalf("%d records hold %d bytes", records.Len(), records.ResponseBytes())
	}
	evicted, _ := records.Find(ScopedKey{"orders", "1"})
	if got := records.Get(evicted).Outcome; got != outcome.UnknownBecause(outcome.ReasonResponseDropped) {
		t.Errorf("outcome of an evicted response = %v", got)
	}
	oldestStored, _ := records.Find(ScopedKey{"orders", "2"})
	if record := records.Get(oldestStored); record.Outcome != outcome.Complete() || record.Response != "2" {
		t.Errorf("kept record = %+v", record)
	}
	records.Expire(testNow.Add(Retention + 2*time.Second))
	if records.Len() != 3 || records.ResponseBytes() != 3*size {
		t.Errorf("after the retention %d records hold %d bytes", records.Len(), records.ResponseBytes())
	}
	if got := records.NextExpiry(); !got.Equal(testNow.Add(Retention + 3*time.Second)) {
		t.Errorf("next expiry = %v", got)
	}
}
