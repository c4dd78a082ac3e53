package events

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/phuslu/log"
)

var eventRow = regexp.MustCompile(`(?m)^\| (\d{3}) \| (\w+) \| ([^|]+) \| ([^|]+) \|$`)

// Guards against events that docs/events.md lacks or describes with another level
// or message.
func TestCatalogueMatchesDocs(t *testing.T) {
	text, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[int][]string{}
	for _, match := range eventRow.FindAllStringSubmatch(string(text), -1) {
		number, _ := strconv.Atoi(match[1])
		if documented[number] != nil {
			t.Errorf("event %d has two rows", number)
		}
		documented[number] = match
	}
	seen := map[int]bool{}
	for _, event := range Catalogue() {
		if seen[event.Number] {
			t.Errorf("event number %d is used twice", event.Number)
		}
		seen[event.Number] = true
		row := documented[event.Number]
		if row == nil {
			t.Errorf("docs/events.md lacks event %d %q", event.Number, event.Message)
			continue
		}
		if row[2] != event.Level.String() || row[3] != event.Message {
			t.Errorf("docs/events.md row %v differs from %d %s %q", row[1:4], event.Number, event.Level, event.Message)
		}
	}
	for number := range documented {
		if !seen[number] {
			t.Errorf("docs/events.md has event %d, which the catalogue lacks", number)
		}
	}
}

// Guards against log lines that lack the event number, the level or the error
// message.
func TestLogWritesNumberedEvent(t *testing.T) {
	var buffer bytes.Buffer
	logger := New(&buffer, log.InfoLevel, "gateway", "i-1")
	logger.Log(StoreUnavailable, Err(errors.New("dial refused")), F("calls", 3))
	logger.Log(ResponseDiscarded)
	var line map[string]any
	if err := json.Unmarshal(buffer.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, buffer.String())
	}
	if line["event"] != 200.0 || line["level"] != "warn" || line["error"] != "dial refused" || line["process"] != "gateway" {
		t.Errorf("line = %v", line)
	}
}
