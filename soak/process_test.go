package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// binary is the built waxwing-entry.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "waxwing-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "waxwing-entry")
	build := exec.Command("go", "build", "-o", binary, "github.com/waxwingbridge/waxwingbridge/cmd/waxwing-entry")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// process is a waxwing-entry that can be signalled and started again.
type process struct {
	t        *testing.T
	name     string
	client   string // where it serves clients
	settings string // path of its settings file
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// newProcess writes the settings of a process whose store is at the address.
func newProcess(t *testing.T, directory, name, store string) *process {
	p := &process{t: t, name: name, client: freeAddress(t), settings: filepath.Join(directory, name+".toml")}
	text := fmt.Sprintf("NodeName = %q\nZone = \"z1\"\nAdvice = %q\n[Listen]\nFrontend = %q\nReadiness = %q\n[platform]\nAddress = %q\n[Cloud]\nAddress = %q\n",
		name, store, p.client, freeAddress(t), store, store)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(directory, name+".log")); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(binary)
	command.Env = append(os.Environ(), "WAXWINGBRIDGE_NODE_FILE="+p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		p.t.Errorf("start %s: %v", p.name, err)
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // killed processes report an error
		close(ended)
	}()
	p.command, p.ended = command, ended
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // it may just have ended
}

// end sends a signal that ends the process and waits for it.
func (p *process) end(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// proxyServer holds what proxies share. It listens on no address itself.
var proxyServer = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// path is a connection point that can be harmed.
type path struct {
	*toxiproxy.Proxy
	cutting sync.Mutex // held while it is cut; a second cut waits
}

func newPath(upstream string) (*path, error) {
	p := &path{Proxy: toxiproxy.NewProxy(proxyServer(), upstream, "127.0.0.1:0", upstream)}
	return p, p.Start()
}

// harm adds a fault: a toxic of the proxy library on one direction, "upstream"
// towards the platform or "downstream".
func (p *path) harm(kind, direction, attributes string) error {
	text := fmt.Sprintf(`{"name":"%s-%s","type":%q,"stream":%q,"attributes":%s}`, kind, direction, kind, direction, attributes)
	_, err := p.Toxics.AddToxicJson(strings.NewReader(text))
	return err
}
