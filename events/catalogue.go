package events

import "github.com/phuslu/log"

// Process events (100-199).
var (
	ProcessStarted  = Event{100, log.InfoLevel, "process started"}
	ProcessStopping = Event{101, log.InfoLevel, "process is shutting down"}
	ProcessStopped  = Event{102, log.InfoLevel, "process stopped"}
	ProcessReady    = Event{103, log.InfoLevel, "process is ready"}
	ServerFailed    = Event{104, log.ErrorLevel, "network server failed"}
	ShutdownTimeout = Event{105, log.WarnLevel, "shutdown timeout passed with requests in flight"}
	InvariantBroken = Event{199, log.ErrorLevel, "broken invariant"}
)

// Store events (200-299).
var (
	StoreUnavailable    = Event{200, log.WarnLevel, "store is unavailable"}
	StoreAvailable      = Event{201, log.InfoLevel, "store is available again"}
	StoreWatchLost      = Event{202, log.WarnLevel, "store watch was lost"}
	StoreWriteUnknown   = Event{203, log.WarnLevel, "result of a store write is unknown"}
	StoreWriteConflict  = Event{204, log.WarnLevel, "store write conflicted with another writer"}
	StoreBudgetUsedUp   = Event{205, log.WarnLevel, "store call budget is exhausted"}
	ProcessLeaseLost    = Event{206, log.WarnLevel, "store lease of the process expired"}
	ProcessLeaseGranted = Event{207, log.InfoLevel, "store lease of the process was granted"}
	StoreValueInvalid   = Event{208, log.ErrorLevel, "store value cannot be decoded"}
)

// Configuration events (300-399).
var (
	ConfigInForce  = Event{300, log.InfoLevel, "configuration is in force"}
	ConfigRejected = Event{301, log.ErrorLevel, "configuration document was rejected"}
	ConfigOlder    = Event{302, log.WarnLevel, "older configuration was ignored"}
	ConfigApplied  = Event{303, log.InfoLevel, "configuration change was accepted"}
)

// Peer events (400-499).
var (
	PeerJoined     = Event{400, log.InfoLevel, "peer joined"}
	PeerSuspected  = Event{401, log.WarnLevel, "peer is suspected"}
	PeerRecovered  = Event{402, log.InfoLevel, "peer recovered"}
	HomesSettled   = Event{403, log.InfoLevel, "homes of idempotency keys settled"}
	HomesChanged   = Event{404, log.InfoLevel, "homes of idempotency keys changed"}
	FleetViewStale = Event{405, log.WarnLevel, "fleet view is stale, requests are refused"}
	PeerRemoved    = Event{407, log.InfoLevel, "peer left"}
	FleetViewFresh = Event{406, log.InfoLevel, "fleet view is fresh again"}
)

// Request events (500-599).
var (
	TargetEjected     = Event{500, log.WarnLevel, "target was ejected after failures"}
	TargetReadmitted  = Event{501, log.InfoLevel, "target was readmitted"}
	TargetLeaving     = Event{502, log.InfoLevel, "target is leaving"}
	ResponseDiscarded = Event{503, log.DebugLevel, "response of an abandoned attempt was discarded"}
	ShardInboxFull    = Event{504, log.WarnLevel, "traffic shard is overloaded, request refused"}
)

// Fleet events (600-699).
var (
	ControllerActive      = Event{600, log.InfoLevel, "controller became active"}
	ControllerInactive    = Event{601, log.WarnLevel, "controller is no longer active"}
	OperationStarted      = Event{602, log.InfoLevel, "operation on a worker started"}
	OperationAdvanced     = Event{603, log.InfoLevel, "operation on a worker advanced"}
	OperationFinished     = Event{604, log.InfoLevel, "operation on a worker finished"}
	OperationFailed       = Event{605, log.WarnLevel, "operation on a worker failed"}
	DrainSlow             = Event{606, log.WarnLevel, "drain takes longer than expected"}
	WorkerStateChanged    = Event{607, log.InfoLevel, "worker changed state"}
	WaveStarted           = Event{608, log.InfoLevel, "maintenance wave started"}
	WaveHalted            = Event{609, log.ErrorLevel, "maintenance wave was halted"}
	WaveDone              = Event{610, log.InfoLevel, "maintenance wave is done"}
	WaveChanged           = Event{611, log.InfoLevel, "maintenance wave was changed by an operator"}
	PlatformUnavailable   = Event{612, log.WarnLevel, "platform is unavailable"}
	PlatformAvailable     = Event{613, log.InfoLevel, "platform is available again"}
	BudgetExceededByFault = Event{614, log.WarnLevel, "failures left a pool below its availability budget"}
	WorkerAdded           = Event{615, log.InfoLevel, "worker joined the fleet"}
	WorkerRemoved         = Event{616, log.InfoLevel, "worker left the fleet"}
)

// Job events (700-799).
var (
	JobFinished        = Event{700, log.InfoLevel, "job finished"}
	JobUnknown         = Event{701, log.WarnLevel, "result of a job is unknown"}
	JobParked          = Event{702, log.WarnLevel, "job cannot run and is parked"}
	JobFailed          = Event{703, log.WarnLevel, "job failed permanently"}
	WorkerQuarantined  = Event{704, log.WarnLevel, "worker was quarantined"}
	WorkerReleased     = Event{705, log.InfoLevel, "worker was released from quarantine"}
	PowerCapThrottling = Event{706, log.WarnLevel, "power cap reached, tasks are throttled"}
	JobPreempted       = Event{707, log.InfoLevel, "job was preempted by urgent work"}
	QuarantineCapped   = Event{708, log.WarnLevel, "faulty worker stays in service because the quarantine cap or the pool's budget is reached"}
)

// Work events (800-899): jobs, tasks and runs on the platform's workers.
var (
	RequestAnswered          = Event{800, log.InfoLevel, "request was answered"}
	RequestNotServed         = Event{801, log.WarnLevel, "request was not served"}
	RequestsNotWritten       = Event{802, log.WarnLevel, "requests could not be written"}
	PoolOwned                = Event{810, log.InfoLevel, "pool is owned by this process"}
	PoolLost                 = Event{811, log.WarnLevel, "pool is no longer owned by this process"}
	PoolLoaded               = Event{812, log.InfoLevel, "jobs of a pool were loaded"}
	PoolReconciled           = Event{813, log.InfoLevel, "runs of earlier owners were reconciled"}
	LeaseLimitsStored        = Event{814, log.InfoLevel, "ends of the leases on silent workers were stored"}
	WorkFinished             = Event{820, log.InfoLevel, "job reached its final state"}
	ProgressNotSaved         = Event{821, log.WarnLevel, "progress could not be saved"}
	DemandNotSaved           = Event{822, log.WarnLevel, "demand of a pool could not be saved"}
	DemandReported           = Event{823, log.InfoLevel, "demand of a pool was reported"}
	RunOrdered               = Event{830, log.InfoLevel, "run was ordered"}
	StartRefused             = Event{831, log.WarnLevel, "start was not accepted"}
	RunEnded                 = Event{832, log.InfoLevel, "run ended"}
	RunAbandoned             = Event{833, log.WarnLevel, "run was abandoned"}
	RunAdopted               = Event{834, log.WarnLevel, "run of another owner or a late order was found"}
	RunStopOrdered           = Event{835, log.InfoLevel, "stop of a run was ordered"}
	RunStalled               = Event{836, log.WarnLevel, "run makes no progress"}
	BestEffortSpeedChanged   = Event{837, log.InfoLevel, "speed of a best-effort run was changed"}
	AdviceAnswered           = Event{838, log.InfoLevel, "advice service answered"}
	RunAccepted              = Event{839, log.InfoLevel, "start was accepted"}
	WorkerDraining           = Event{840, log.InfoLevel, "worker changed between ready and draining"}
	WorkerUnregistered       = Event{841, log.WarnLevel, "worker left the registry"}
	WorkerIncarnationEnded   = Event{842, log.WarnLevel, "incarnation of a worker ended"}
	WorkerLeasesExpired      = Event{843, log.WarnLevel, "leases on an unresponsive worker have expired"}
	OrderFenced              = Event{844, log.WarnLevel, "worker has seen a higher fencing token"}
	WorkerUnfit              = Event{845, log.WarnLevel, "worker is excluded from placement after failures"}
	WorkerUnfitCapped        = Event{846, log.WarnLevel, "worker with failures stays in service because the cap on exclusions is reached"}
	WorkerCrashed            = Event{847, log.WarnLevel, "worker crashed with runs"}
	TaskGivenUp              = Event{848, log.WarnLevel, "task crashed its workers and was given up"}
	StartFenced              = Event{849, log.InfoLevel, "start without an answer was fenced"}
	RunSuspected             = Event{885, log.InfoLevel, "run may have crashed its worker"}
	StageHeldUp              = Event{886, log.InfoLevel, "stage waits although workers have room for it"}
	DemandStored             = Event{887, log.InfoLevel, "demand report of a pool was stored"}
	WorkersReserved          = Event{877, log.InfoLevel, "workers were reserved for an overdue stage"}
	OverloadOrder            = Event{878, log.InfoLevel, "order of ready jobs changed with the load"}
	RunTimeLearnt            = Event{879, log.InfoLevel, "expected run time of a step changed"}
	WorkerSlow               = Event{880, log.WarnLevel, "worker changed between slow and not slow"}
	SlowRunRestarted         = Event{881, log.InfoLevel, "run on a slow worker is started elsewhere"}
	MaintenanceWaveRequested = Event{850, log.InfoLevel, "maintenance wave was requested"}
	MachineChosen            = Event{851, log.InfoLevel, "machine was chosen for maintenance"}
	MaintenanceOrdered       = Event{852, log.InfoLevel, "maintenance of a machine was ordered"}
	MaintenanceAnswered      = Event{853, log.InfoLevel, "machine service answered"}
	MaintenanceWaveDone      = Event{854, log.InfoLevel, "maintenance wave is completed"}
	MachinesUnavailable      = Event{855, log.WarnLevel, "machines could not be listed"}
	MaintenanceNotSaved      = Event{856, log.WarnLevel, "state of a maintenance could not be saved"}
	MachineMovePlanned       = Event{857, log.InfoLevel, "move of a machine was planned"}
	MachineMoveOrdered       = Event{858, log.InfoLevel, "move of a machine was ordered"}
	PoolsDivided             = Event{859, log.InfoLevel, "pools were divided into partitions"}
	ManifestInForce          = Event{860, log.InfoLevel, "manifest is in force"}
	StoreEntryInvalid        = Event{861, log.WarnLevel, "store entry cannot be decoded"}
	LeaseCallFailed          = Event{862, log.WarnLevel, "call about the store lease failed"}
	SettingsReloaded         = Event{863, log.InfoLevel, "settings file was reloaded"}
	WorkerUnreachable        = Event{865, log.WarnLevel, "worker gave no usable answer"}
	ManifestExpired          = Event{866, log.WarnLevel, "confirmation of the manifest expired or was renewed"}
	LoadReported             = Event{867, log.InfoLevel, "load of the process"}
	MachineRowInvalid        = Event{868, log.WarnLevel, "row of the machine list was left out"}
	StoreReadInFull          = Event{869, log.InfoLevel, "all keys of a watch were read again"}
	WorkerKept               = Event{870, log.InfoLevel, "surplus worker was taken back for a waiting stage"}
	AllotmentChanged         = Event{871, log.InfoLevel, "part of a team's cap in a partition was changed"}
	AllotmentNotSaved        = Event{872, log.WarnLevel, "allotment of the teams' caps could not be saved"}
	CapWaitBegan             = Event{873, log.InfoLevel, "tasks of a team began to wait for its cap"}
	CapWaitEnded             = Event{874, log.InfoLevel, "tasks of a team no longer wait for its cap"}
	ForecastLearnt           = Event{875, log.InfoLevel, "period of a pool's demand was learnt"}
	ForecastLost             = Event{876, log.InfoLevel, "period of a pool's demand is no longer believed"}
	ClientsLimited           = Event{882, log.WarnLevel, "limits for clients closed connections or refused requests"}
	InterferenceFound        = Event{883, log.InfoLevel, "kind of tasks slows another one down"}
	InterferenceEnded        = Event{884, log.InfoLevel, "kind of tasks no longer slows another one down"}
	LogsDropped              = Event{864, log.WarnLevel, "log records were dropped"}
)

// Catalogue lists every event. docs/events.md has one row for each of them.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessStopping, ProcessStopped, ProcessReady, ServerFailed, ShutdownTimeout, InvariantBroken,
		StoreUnavailable, StoreAvailable, StoreWatchLost, StoreWriteUnknown, StoreWriteConflict, StoreBudgetUsedUp,
		ProcessLeaseLost, ProcessLeaseGranted, StoreValueInvalid,
		ConfigInForce, ConfigRejected, ConfigOlder, ConfigApplied,
		PeerJoined, PeerSuspected, PeerRecovered, HomesSettled, HomesChanged, FleetViewStale, FleetViewFresh, PeerRemoved,
		TargetEjected, TargetReadmitted, TargetLeaving, ResponseDiscarded, ShardInboxFull,
		ControllerActive, ControllerInactive, OperationStarted, OperationAdvanced, OperationFinished, OperationFailed,
		DrainSlow, WorkerStateChanged, WaveStarted, WaveHalted, WaveDone, WaveChanged, PlatformUnavailable,
		PlatformAvailable, BudgetExceededByFault, WorkerAdded, WorkerRemoved,
		JobFinished, JobUnknown, JobParked, JobFailed, WorkerQuarantined, WorkerReleased, PowerCapThrottling, JobPreempted,
		QuarantineCapped,
		RequestAnswered, RequestNotServed, RequestsNotWritten, PoolOwned, PoolLost, PoolLoaded,
		PoolReconciled, LeaseLimitsStored, WorkFinished, ProgressNotSaved, DemandNotSaved, DemandReported, RunOrdered, StartRefused, RunEnded,
		RunAbandoned, RunAdopted, RunStopOrdered, RunStalled, BestEffortSpeedChanged, AdviceAnswered, RunAccepted,
		WorkerDraining, WorkerUnregistered, WorkerIncarnationEnded, WorkerLeasesExpired, OrderFenced, WorkerUnfit,
		WorkerUnfitCapped, WorkerCrashed, TaskGivenUp, StartFenced, RunSuspected, StageHeldUp, DemandStored, WorkersReserved, OverloadOrder, RunTimeLearnt, WorkerSlow, SlowRunRestarted, MaintenanceWaveRequested, MachineChosen, MaintenanceOrdered, MaintenanceAnswered, MaintenanceWaveDone,
		MachinesUnavailable, MaintenanceNotSaved, PoolsDivided, ManifestInForce, StoreEntryInvalid, LeaseCallFailed, SettingsReloaded,
		LogsDropped, WorkerUnreachable, ManifestExpired, LoadReported, MachineRowInvalid, StoreReadInFull, WorkerKept, MachineMovePlanned, MachineMoveOrdered,
		AllotmentChanged, AllotmentNotSaved, CapWaitBegan, CapWaitEnded,
		ForecastLearnt, ForecastLost,
		ClientsLimited,
		InterferenceFound, InterferenceEnded,
	}
}
