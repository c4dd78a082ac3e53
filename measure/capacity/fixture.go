package main

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/policy"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
)

// siteSize describes a site to measure.
type siteSize struct {
	workers, pools, tenants, jobs, zones int
	gateways, controllers                int
}

// The fleet expected in two years as one site, and one region's share of it.
var (
	wholeSite  = siteSize{workers: 520, pools: 114, tenants: 140, jobs: 10_000, zones: 11, gateways: 8, controllers: 3}
	regionSite = siteSize{workers: 173, pools: 38, tenants: 140, jobs: 3_333, zones: 4, gateways: 8, controllers: 3}
)

// siteSizes are the sizes over which lines are fitted. The number of processes is
// constant; writeExchange varies it separately.
var siteSizes = []siteSize{
	{workers: 65, pools: 14, tenants: 18, jobs: 1_250, zones: 3, gateways: 8, controllers: 3},
	{workers: 130, pools: 29, tenants: 35, jobs: 2_500, zones: 3, gateways: 8, controllers: 3},
	{workers: 260, pools: 57, tenants: 70, jobs: 5_000, zones: 6, gateways: 8, controllers: 3},
	wholeSite,
}

const (
	rackSize     = 4
	spareWorkers = 12
	cores        = 32
	memoryMB     = 64 << 10
	jobCores     = 4 // requested and used by each job
	jobMemoryMB  = 4096
	// exceptionInterval gives every tenth pool an exception.
	exceptionInterval = 10
	milliPerCore      = 1000
)

func (z siteSize) poolNames() []string {
	names := make([]string, z.pools)
	for i := range names {
		names[i] = fmt.Sprintf("pool-%03d", i)
	}
	names[z.pools-1] = "spare"
	return names
}

// workerList returns the rows of the worker list. The last pool is the spare pool.
func (z siteSize) workerList() []infra.Worker {
	spec := standin.FleetSpec{Zones: z.zones, RackSize: rackSize, Cores: cores, MemoryMB: memoryMB, TargetHost: "10.20.30.40", FirstPort: 7101}
	spare := min(spareWorkers, z.workers/z.pools*2)
	for i, name := range z.poolNames() {
		others := z.pools - 1
		workers := (z.workers - spare) / others
		if i < (z.workers-spare)%others {
			workers++
		}
		if i == others {
			workers = spare
		}
		spec.Pools = append(spec.Pools, standin.PoolSize{Name: name, Workers: workers})
	}
	return standin.BuildWorkers(spec)
}

// config returns a document with an exception for every tenant and every tenth pool.
func (z siteSize) config() *policy.Document {
	names := z.poolNames()
	doc := policy.Example(names...)
	doc.Site.Objective, doc.Site.CanaryWorkers = policy.ObjectiveRollout, rackSize
	doc.Defaults.Tenant.JobsPending = wholeSite.jobs
	for i := range z.tenants {
		doc.Exceptions = append(doc.Exceptions, policy.Exception{
			Scope: "tenant/" + tenant(i), Field: "weight", Value: 1 + float64(i%4), Reason: "share agreed with the team",
		})
	}
	for i := 0; i < z.pools-1; i += exceptionInterval {
		doc.Exceptions = append(doc.Exceptions, policy.Exception{
			Scope: "pool/" + names[i], Field: "min_serving_share", Value: 0.8, Reason: "peaks with little notice",
		})
	}
	return &doc
}

func tenant(i int) string { return fmt.Sprintf("team-%03d", i) }

func (z siteSize) job(i int) placement.Submitted {
	names := z.poolNames()
	return placement.Submitted{Spec: placement.Spec{
		ID: fmt.Sprintf("job-%06d", i), Tenant: tenant(i % z.tenants), Pool: names[i%(z.pools-1)], Class: placement.ClassQuick,
		Family: "reconcile", Size: placement.Resources{MilliCores: jobCores * milliPerCore, MemoryMB: jobMemoryMB}, Idempotent: true,
		RunTime: 10 * time.Minute, Payload: "reconcile ledger of one seller",
	}}
}

// identity returns the identity of process i. Gateways come first.
func (z siteSize) identity(i int) node.Identity {
	role := node.RoleGateway
	if i >= z.gateways {
		role = node.RoleController
	}
	address := fmt.Sprintf("10.0.0.%d", i+1)
	return node.Identity{
		Incarnation: fmt.Sprintf("0198a7c2-%04x-7000-8000-%012x", (i*7919)%65536, i+1), Role: role,
		AvailabilityZone: fmt.Sprintf("az%d", i%min(z.zones, 4)+1), PeerAddress: address + ":7400", PublicAddress: address + ":8080",
	}
}
