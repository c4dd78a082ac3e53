package command

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform"
)

// Guards against a process that is ended by a SIGHUP during its start: the platform sends
// one whenever the settings file changes. The settings file is a pipe, so that the start
// waits while the signal arrives. Without the protection the signal ends this test binary.
func TestHangupDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsFileVariable, path)
	status := make(chan int, 1)
	var stderr strings.Builder
	go func() { status <- Entry(nil, io.Discard, &stderr) }()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the start reads the settings
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := pipe.WriteString("no settings"); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	if got := <-status; got != exitFailure || !strings.Contains(stderr.String(), "settings") {
		t.Errorf("exit status %d, stderr %q", got, stderr.String())
	}
}
