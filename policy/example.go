package policy

// Example returns a valid document for the given pools, the last of which is
// the spare pool. The development system and tests start from it.
func Example(pools ...string) Document {
	specs := make([]PoolSpec, len(pools))
	for i, name := range pools {
		specs[i] = PoolSpec{Name: name, Spare: i == len(pools)-1}
	}
	return Document{
		Revision: 1,
		Author:   "example",
		Comment:  "initial configuration",
		Site: Site{
			Objective: ObjectiveBuffer, SurviveLossOf: DomainRack, MaintenanceDays: 21,
			CanaryWorkers: 1, HaltAfterFailures: 2, PowerCapWatts: 0, RebootInrushWatts: 400, JobQuarantineCap: 0.2,
		},
		Pools: specs,
		Defaults: Defaults{
			Pool: Pool{
				MinServingShare: 0.75, SlotsPerTarget: 8, ConnectionsPerTarget: 64, QueueLimit: 1000, RetryBudget: 0.1,
				EjectionCap: 0.3, UrgentTimeoutMS: 2200, QuickTimeoutMS: 10_000, LongTimeoutMS: 600_000, LongFloor: 0.1,
				DrainWarningSeconds: 300, JobMilliCoresShare: 0.5,
			},
			Tenant: Tenant{RequestsPerSecond: 500, Burst: 500, Concurrency: 500, Weight: 1, JobCores: 256, JobsPending: 1000},
		},
		Exceptions: []Exception{},
	}
}
