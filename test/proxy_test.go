package test

import (
	"context"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// proxyServer is the server state that toxiproxy requires of each proxy. It does
// not listen on any address.
var proxyServer = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// proxy is a TCP proxy that injects faults into its connections.
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

// direction is the direction of data on a connection: requests flow from the side
// that dialled.
type direction string

const (
	requests  direction = "upstream"
	responses direction = "downstream"
)

// dropData drops the data of one direction while connections stay open, as a
// network path that loses packets does.
func (p *proxy) dropData(direction direction) { p.addToxic("timeout", direction, `{"timeout":0}`) }

// delay adds latency to one direction.
func (p *proxy) delay(direction direction, milliseconds string) {
	p.addToxic("latency", direction, `{"latency":`+milliseconds+`}`)
}

// truncate closes each connection after a number of bytes in one direction.
func (p *proxy) truncate(direction direction, bytes string) {
	p.addToxic("limit_data", direction, `{"bytes":`+bytes+`}`)
}

func (p *proxy) addToxic(kind string, direction direction, attributes string) {
	p.t.Helper()
	text := `{"name":"` + kind + string(direction) + `","type":"` + kind + `","stream":"` + string(direction) + `","attributes":` + attributes + `}`
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		p.t.Fatal(err)
	}
}

// cut closes the open connections and refuses new ones.
func (p *proxy) cut() { p.Stop() }

// heal removes all faults of the proxy.
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
