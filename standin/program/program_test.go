package program

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against accepting a flag value outside its range, and against an error
// message that does not name the flag, the value and the range.
func TestFlagsOutsideTheirRange(t *testing.T) {
	cases := map[string]struct {
		run  func(args []string) (int, string)
		args []string
		want []string
	}{
		"zones":        {runPlatform, []string{"--zones=0"}, []string{"--zones=0", "1 to 64"}},
		"pools":        {runPlatform, []string{"--pools=orders"}, []string{"--pools", `"orders"`, "at least 1"}},
		"port":         {runPlatform, []string{"--first-target-port=65500"}, []string{"--first-target-port=65500", "1 to 65487"}},
		"lag":          {runPlatform, []string{"--list-lag=1ms"}, []string{"--list-lag=1ms", "10ms to 1h"}},
		"count":        {runTarget, []string{"--count=0"}, []string{"--count=0", "1 to 2048"}},
		"service time": {runTarget, []string{"--service-time=2m"}, []string{"--service-time=2m", "0s to 1m"}},
	}
	for name, c := range cases {
		status, stderr := c.run(c.args)
		if status != exitFailure {
			t.Errorf("%s: exit status %d", name, status)
		}
		for _, want := range c.want {
			if !strings.Contains(stderr, want) {
				t.Errorf("%s: error %q does not contain %q", name, stderr, want)
			}
		}
	}
}

func runPlatform(args []string) (int, string) {
	var stdout, stderr bytes.Buffer
	return Platform(args, &stdout, &stderr), stderr.String()
}

func runTarget(args []string) (int, string) {
	var stdout, stderr bytes.Buffer
	return Target(args, &stdout, &stderr), stderr.String()
}
