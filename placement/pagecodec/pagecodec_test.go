package pagecodec

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

func record(id string) *placement.JobRecord {
	at := time.Date(2026, 12, 4, 8, 0, 0, 123456789, time.UTC)
	size := placement.Resources{MilliCores: 1500, MemoryMB: 2048, Accelerators: 1}
	return &placement.JobRecord{
		Spec: placement.Spec{
			ID: id, Tenant: "tenant-7", Pool: "pool-41", Class: placement.ClassUrgent, Family: "ledger", Size: size,
			RunTime: time.Hour, Idempotent: true, Checkpointable: true, Payload: "<reconcile \"&\" ledger>", Priority: -3,
			AvailabilityZone: "zone-b", SpreadRacks: true,
		},
		State: placement.JobRunning, Reason: placement.ReasonStopping, Detail: "exit status 1", SubmittedAt: at,
		FinishedAt: at.Add(time.Hour), Attempts: 2, FailedOn: []string{"worker-101"}, Failures: 1, Cancelling: true,
		Resume: true, PeakUsage: size, ActualRunTime: time.Minute,
		Attempt: &placement.AttemptRecord{
			Operation: id + ".3.2", Worker: "worker-102", Status: placement.AttemptRunning, Resume: true, Reserved: size,
			CreatedAt: at, StartedAt: at.Add(time.Second),
		},
	}
}

// Guards against a record field that is lost between encoding and decoding.
func TestRoundTrip(t *testing.T) {
	page := placement.Page{Index: placement.PageOf("job-1"), Epoch: 7, Jobs: []*placement.JobRecord{record("job-1")}}
	value := reflect.ValueOf(*page.Jobs[0])
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Fatalf("field %s of the sample is zero, so its loss would go undetected", value.Type().Field(i).Name)
		}
	}
	data, err := new(Encoder).Encode(page)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(page.Index, data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, page) {
		t.Fatalf("got %+v, want %+v", got, page)
	}
}

// Guards against decoding malformed data or the value of another key as a page.
func TestDecodeRefusesForeignValues(t *testing.T) {
	index := placement.PageOf("job-1")
	for _, data := range []string{
		`{`, fmt.Sprintf(`{"index":%d}`, index+1),
		fmt.Sprintf(`{"index":%d,"jobs":[{"id":"job-1"}]}`, (index+1)%placement.PageCount),
	} {
		requested := index
		if strings.Contains(data, "job-1") {
			requested = (index + 1) % placement.PageCount
		}
		if _, err := Decode(requested, []byte(data)); err == nil {
			t.Errorf("Decode(%d, %s) returned no error", requested, data)
		}
	}
}

// maxPageBytes is the intended maximum, far below the store's limit of 1 MB.
const maxPageBytes = 512 << 10

// Guards against pages that come close to the store's limit with 10,000 jobs.
func TestPageSizeOf10000Jobs(t *testing.T) {
	pages := make([]placement.Page, placement.PageCount)
	for i := range 10_000 {
		id := fmt.Sprintf("018f6b1e-%04d-7000-8000-%012d", i, i)
		page := &pages[placement.PageOf(id)]
		page.Index = placement.PageOf(id)
		page.Jobs = append(page.Jobs, record(id))
	}
	largest, jobs := 0, 0
	for _, page := range pages {
		data, err := new(Encoder).Encode(page)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > largest {
			largest, jobs = len(data), len(page.Jobs)
		}
	}
	t.Logf("largest page: %d bytes for %d jobs", largest, jobs)
	if largest > maxPageBytes {
		t.Fatalf("largest page has %d bytes, want at most %d", largest, maxPageBytes)
	}
}

// Guards against cached encodings of changed or deleted jobs.
func TestEncoderFollowsChanges(t *testing.T) {
	var encoder Encoder
	first := placement.Page{Index: placement.PageOf("job-1"), Jobs: []*placement.JobRecord{record("job-1")}}
	changed := record("job-1")
	changed.State = placement.JobDone
	second := placement.Page{Index: first.Index, Jobs: []*placement.JobRecord{changed}}
	empty := placement.Page{Index: first.Index, Jobs: []*placement.JobRecord{}}
	for _, page := range []placement.Page{first, first, second, empty, first} {
		data, err := encoder.Encode(page)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(page.Index, data)
		if err != nil || !reflect.DeepEqual(got, page) {
			t.Fatalf("got %+v and error %v, want %+v", got, err, page)
		}
	}
}

// BenchmarkEncodePage measures the encoding of a page after a change to one of its 625
// jobs.
func BenchmarkEncodePage(b *testing.B) {
	page := placement.Page{Jobs: make([]*placement.JobRecord, 625)}
	for i := range page.Jobs {
		page.Jobs[i] = record(fmt.Sprintf("018f6b1e-%04d-7000-8000-%012d", i, i))
	}
	encoder := new(Encoder)
	for i := 0; b.Loop(); i++ {
		page.Jobs[i%len(page.Jobs)] = record(page.Jobs[i%len(page.Jobs)].Spec.ID)
		if _, err := encoder.Encode(page); err != nil {
			b.Fatal(err)
		}
	}
}
