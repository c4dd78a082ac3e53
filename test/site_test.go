package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/store/etcdgateway"
)

// Limits of waits. They only end a test that has failed.
const (
	readyLimit = 90 * time.Second
	stopLimit  = 20 * time.Second
	waveLimit  = 150 * time.Second
	pollPause  = 20 * time.Millisecond
)

// Ports of a site. Each site has a loopback address of its own, so that they
// need not be free anywhere else.
const (
	storePort, platformPort, targetAdminPort = 7001, 7002, 7003
	firstTargetPort, firstTargetProxy        = 7100, 7200
	publicPort, peerPort, adminPort          = 8100, 8200, 8300
	peerProxyPort, storeProxyPort, vmPort    = 9100, 9200, 9300
)

const siteName = "test"

// options of a site. Zero values take the defaults of startSite.
type options struct {
	gateways, controllers int
	pools                 string // the last one is the spare pool
	rebootTime            time.Duration
	listLag               time.Duration
	targetProxies         bool
	configure             func(*policy.Document)
}

// member is a gateway or controller with the proxies on its connections.
type member struct {
	*process
	role                   node.Role
	public, admin          string
	peers, store, platform *proxy
}

// site is a running site.
type site struct {
	t            *testing.T
	ip           string
	options      options
	pools        []string
	workers      int
	targets      *process
	platform     *process
	gateways     []*member
	controllers  []*member
	targetProxy  map[string]*proxy
	watch        *observer
	store        store.Store
	documentKeys node.Keys
	jobs         []string // submitted
	orders       int
}

var sites atomic.Int32

// siteAddress returns a loopback address that no other test process uses.
func siteAddress(t *testing.T) string {
	t.Helper()
	for range 200 {
		number := os.Getpid()*16 + int(sites.Add(1))
		ip := fmt.Sprintf("127.%d.%d.%d", 64+number>>14&63, number>>7&127, 1+number&127)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, storePort))
		if err == nil {
			listener.Close()
			return ip
		}
	}
	t.Fatal("no free loopback address")
	return ""
}

func startSite(t *testing.T, o options) *site {
	t.Helper()
	setDefault(&o.gateways, 2)
	setDefault(&o.controllers, 2)
	setDefault(&o.pools, "orders=4,ledger=4,spare=3")
	setDefault(&o.rebootTime, 300*time.Millisecond)
	setDefault(&o.listLag, 300*time.Millisecond)
	s := &site{t: t, ip: siteAddress(t), options: o, targetProxy: map[string]*proxy{}, documentKeys: node.NewKeys(siteName)}
	sizes, err := standin.ParsePools(o.pools)
	if err != nil {
		t.Fatal(err)
	}
	for _, pool := range sizes {
		s.pools, s.workers = append(s.pools, pool.Name), s.workers+pool.Workers
	}
	s.startStandins()
	s.seedConfig()
	s.watch = startObserver(s)
	for i := range o.controllers {
		s.controllers = append(s.controllers, s.newMember(node.RoleController, 10+i))
	}
	for i := range o.gateways {
		s.gateways = append(s.gateways, s.newMember(node.RoleGateway, i))
	}
	for _, m := range s.members() {
		m.start()
	}
	s.waitReady(s.members()...)
	s.eventually(readyLimit, "all workers are in the fleet", func() bool { return len(s.watch.fleet().Workers) == s.workers })
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *site) at(port int) string { return fmt.Sprintf("%s:%d", s.ip, port) }

func (s *site) startStandins() {
	s.targets = newProcess(s.t, "targets", "waxwing-standin-target", "--log-level=warn", "--listen-admin="+s.at(targetAdminPort),
		"--host="+s.ip, fmt.Sprintf("--first-port=%d", firstTargetPort), fmt.Sprintf("--count=%d", s.workers))
	port := firstTargetPort
	if s.options.targetProxies {
		port = firstTargetProxy
		for i := range s.workers {
			s.targetProxy[target.WorkerID(i)] = startProxy(s.t, s.at(firstTargetProxy+i), s.at(firstTargetPort+i))
		}
	}
	s.platform = newProcess(s.t, "platform", "waxwing-standin-platform", "--log-level=warn",
		"--listen-store="+s.at(storePort), "--listen-platform="+s.at(platformPort), "--pools="+s.options.pools,
		"--target-host="+s.ip, fmt.Sprintf("--first-target-port=%d", port), "--target-control=http://"+s.at(targetAdminPort),
		"--list-lag="+s.options.listLag.String(), "--reboot-time="+s.options.rebootTime.String())
	for _, p := range []*process{s.targets, s.platform} {
		p.start()
		s.t.Cleanup(p.stop)
	}
	s.eventually(readyLimit, "the stand-ins answer", func() bool {
		return s.get(s.at(targetAdminPort)+target.PathStatus, nil) == nil && s.get(s.at(platformPort)+standin.PathFaults, nil) == nil
	})
}

// seedConfig writes the first configuration, which needs no controller yet.
func (s *site) seedConfig() {
	client, err := etcdgateway.New("http://" + s.at(storePort))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(client.Close)
	s.store = client
	document := policy.Example(s.pools...)
	document.Exceptions = []policy.Exception{{
		Scope: "pool/" + s.pools[len(s.pools)-1], Field: "min_serving_share", Value: 0.25, Reason: "spare workers may be lent",
	}}
	if s.options.configure != nil {
		s.options.configure(&document)
	}
	data, err := policy.Encode(&document)
	if err == nil {
		put := store.Put{Key: s.documentKeys.Config(), Data: data, WriteID: node.NewWriteID()}
		_, err = client.CompareAndSwap(s.t.Context(), put)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// newMember prepares a process whose connections to peers, store and platform
// pass proxies. slot numbers its ports.
func (s *site) newMember(role node.Role, slot int) *member {
	m := &member{
		role: role, public: s.at(publicPort + slot), admin: s.at(adminPort + slot),
		peers:    startProxy(s.t, s.at(peerProxyPort+slot), s.at(peerPort+slot)),
		store:    startProxy(s.t, s.at(storeProxyPort+slot), s.at(storePort)),
		platform: startProxy(s.t, s.at(vmPort+slot), s.at(platformPort)),
	}
	listen := map[node.Role]string{node.RoleGateway: "--listen-callers=", node.RoleController: "--listen-operators="}[role]
	m.process = newProcess(s.t, fmt.Sprintf("%s %d", role, slot), "waxwing-"+string(role), "--site="+siteName,
		fmt.Sprintf("--availability-zone=az%d", slot%3+1), "--store=http://"+m.store.listen, "--platform=http://"+m.platform.listen,
		listen+m.public, "--listen-peers="+s.at(peerPort+slot), "--advertise-peers="+m.peers.listen, "--listen-admin="+m.admin,
		"--peers="+s.at(peerProxyPort+10)+","+s.at(peerProxyPort), "--log-level=info")
	s.t.Cleanup(m.stop)
	return m
}

func (s *site) members() []*member {
	return append(append([]*member{}, s.controllers...), s.gateways...)
}

// waitReady waits until the processes report that they are ready and a
// controller may disrupt workers.
func (s *site) waitReady(members ...*member) {
	s.t.Helper()
	for _, m := range members {
		s.eventually(readyLimit, m.name+" is ready", func() bool { return s.get(m.admin+"/readyz", nil) == nil })
	}
}

// eventually waits for the condition.
func (s *site) eventually(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	if !waitFor(limit, condition) {
		s.t.Fatalf("within %v it did not happen that %s", limit, what)
	}
}

func waitFor(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollPause)
	}
	return true
}

// get reads JSON from an address of the site. Result may be nil.
func (s *site) get(address string, result any) error {
	return s.call(http.MethodGet, address, nil, result)
}

const adminTimeout = 5 * time.Second

// call sends a JSON body, if any, and reads a JSON answer, if wanted.
func (s *site) call(method, address string, body, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Waxwing-Operator", "test")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body) // only for the message
		return &statusError{response.StatusCode, string(text)}
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// faults replaces the fault switches of the platform stand-in.
func (s *site) faults(faults standin.Faults) {
	s.t.Helper()
	if err := s.call(http.MethodPut, s.at(platformPort)+standin.PathFaults, faults, nil); err != nil {
		s.t.Fatal(err)
	}
}

// targetFaults replaces the fault switches of a target.
func (s *site) targetFaults(worker string, faults target.Faults) {
	s.t.Helper()
	if err := s.call(http.MethodPut, s.at(targetAdminPort)+target.PathFaults, target.FaultRequest{Worker: worker, Faults: faults}, nil); err != nil {
		s.t.Fatal(err)
	}
}

// initiative lets the platform act on workers unasked. Requests that a failing
// worker cuts off are no planned stop.
func (s *site) initiative(kind standin.WorkerAction, selector standin.Selector) {
	s.t.Helper()
	s.watch.expectCuts(selector)
	request := standin.WorkerActionRequest{Selector: selector, Action: kind}
	if err := s.call(http.MethodPost, s.at(platformPort)+standin.PathWorkerAction, request, nil); err != nil {
		s.t.Fatal(err)
	}
}
