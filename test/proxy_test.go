package test

import (
	"context"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// proxyServer holds what proxies share. It listens on no address itself.
var proxyServer = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// proxy is a TCP connection point that a test can cut.
type proxy struct {
	t      *testing.T
	listen string
	*toxiproxy.Proxy
}

func startProxy(t *testing.T, listen, upstream string) *proxy {
	t.Helper()
	p := &proxy{t, listen, toxiproxy.NewProxy(proxyServer(), listen, listen, upstream)}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// direction is a direction of a connection, seen from the side that dialled.
type direction string

const (
	requests direction = "upstream"
	answers  direction = "downstream"
)

// swallow drops the data of one direction while connections stay open, as a
// broken path does.
func (p *proxy) swallow(direction direction) { p.toxic("timeout", direction, `{"timeout":0}`) }

// delay adds a latency to one direction.
func (p *proxy) delay(direction direction, milliseconds string) {
	p.toxic("latency", direction, `{"latency":`+milliseconds+`}`)
}

// truncate ends each connection after a number of bytes of one direction.
func (p *proxy) truncate(direction direction, bytes string) {
	p.toxic("limit_data", direction, `{"bytes":`+bytes+`}`)
}

func (p *proxy) toxic(kind string, direction direction, attributes string) {
	p.t.Helper()
	text := `{"name":"` + kind + string(direction) + `","type":"` + kind + `","stream":"` + string(direction) + `","attributes":` + attributes + `}`
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		p.t.Fatal(err)
	}
}

// cut refuses connections and breaks the present ones.
func (p *proxy) cut() { p.Stop() }

// heal ends every fault of the proxy.
func (p *proxy) heal() {
	p.t.Helper()
	p.Toxics.ResetToxics(context.Background())
	if p.Enabled {
		return
	}
	if err := p.Start(); err != nil {
		p.t.Fatal(err)
	}
}
