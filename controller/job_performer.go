package controller

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/metrics"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/placement/pagecodec"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// flushJobs runs the effects of job placement, each on its own goroutine.
func (p *performer) flushJobs(out *placement.Outbound) {
	out.Writes.Drain(func(e placement.WritePage) { p.start(p.writePage(e)) })
	out.Reads.Drain(func(e placement.ReadPage) { p.start(p.rereadPage(e)) })
	out.Starts.Drain(func(e placement.StartTask) {
		if e.FirstAttempt {
			metrics.JobStartWait(p.scope, e.Tenant, e.Class.String()).RecordDuration(e.WaitTime)
		}
		p.start(p.startTask(e))
	})
	out.Controls.Drain(func(e placement.ControlTask) { p.start(p.controlTask(e)) })
	out.Renewals.Drain(func(e placement.RenewTasks) { p.start(p.renewTasks(e)) })
	out.Replies.Drain(p.deliverReply)
}

func (p *performer) pageKey(index int) string { return p.keys.JobPage(strconv.Itoa(index)) }

func (p *performer) readPage(ctx context.Context, index int) (placement.StoredPage, error) {
	value, err := p.store.Get(ctx, p.pageKey(index))
	if err != nil || value.Revision == 0 {
		return placement.StoredPage{Page: placement.Page{Index: index}}, err
	}
	page, err := pagecodec.Decode(index, value.Data)
	return placement.StoredPage{Page: page, Revision: int64(value.Revision), WriteID: value.WriteID}, err
}

// writePage makes a single compare-and-swap. Placement resolves an unknown result
// itself by reading the page, because it must know whether a submission can still
// become durable.
func (p *performer) writePage(e placement.WritePage) func(context.Context) Event {
	return func(ctx context.Context) Event {
		result := placement.PageResult{Index: e.Page.Index, WriteID: e.WriteID}
		data, err := p.encoders[e.Page.Index].Encode(e.Page)
		if err != nil {
			result.Result = placement.WriteNotApplied
			return JobEvent{result}
		}
		ctx, cancel := context.WithTimeout(ctx, node.StoreCallTimeout)
		defer cancel()
		put := store.Put{Key: p.pageKey(e.Page.Index), Data: data, WriteID: e.WriteID, Revision: store.Revision(e.Revision)}
		revision, err := p.store.CompareAndSwap(ctx, put)
		result.Result, result.Revision = pageResult(err), int64(revision)
		return JobEvent{result}
	}
}

func pageResult(err error) placement.WriteResult {
	switch {
	case err == nil:
		return placement.WriteCommitted
	case errors.Is(err, store.ErrConflict):
		return placement.WriteConflict
	case errors.Is(err, store.ErrUnknown):
		return placement.WriteUnknown
	default:
		return placement.WriteNotApplied
	}
}

func (p *performer) rereadPage(e placement.ReadPage) func(context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, node.StoreCallTimeout)
		defer cancel()
		page, err := p.readPage(ctx, e.Index)
		return JobEvent{placement.PageRead{
			Index: e.Index, Failed: err != nil, Page: page.Page, WriteID: page.WriteID, Revision: page.Revision,
		}}
	}
}

func (p *performer) startTask(e placement.StartTask) func(context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := p.platform.StartTask(ctx, infra.TaskSpec{
			Operation: e.Operation, Job: e.Job, Worker: e.Worker, MilliCores: e.Reserved.MilliCores,
			MemoryMB: e.Reserved.MemoryMB, Accelerators: e.Reserved.Accelerators, Lease: e.Lease, Payload: e.Payload, Resume: e.Resume,
		})
		return JobEvent{placement.StartResult{Operation: e.Operation, Result: startResult(err), Error: errorText(err)}}
	}
}

func (p *performer) controlTask(e placement.ControlTask) func(context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := p.control(ctx, e)
		return JobEvent{placement.ControlResult{Operation: e.Operation, Action: e.Action, Result: callResult(err)}}
	}
}

func (p *performer) control(ctx context.Context, e placement.ControlTask) error {
	switch e.Action {
	case placement.ActionThrottle:
		return p.platform.ThrottleTask(ctx, e.Operation, true)
	case placement.ActionUnthrottle:
		return p.platform.ThrottleTask(ctx, e.Operation, false)
	case placement.ActionCheckpoint:
		return p.platform.CheckpointTask(ctx, e.Operation)
	case placement.ActionStop:
		return p.platform.StopTask(ctx, e.Operation)
	default:
		return infra.ErrRejected
	}
}

func callResult(err error) placement.CallResult {
	switch {
	case err == nil:
		return placement.CallDone
	case errors.Is(err, infra.ErrRejected):
		return placement.CallRefused
	case errors.Is(err, infra.ErrNotFound):
		return placement.CallNotFound
	default:
		return placement.CallUnknown
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (p *performer) renewTasks(e placement.RenewTasks) func(context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = p.platform.RenewTasks(ctx, e.Operations, e.Lease) // a failed renewal is repeated well before the lease expires
		return nil
	}
}

func (p *performer) listTasks(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	tasks, err := p.platform.ListTasks(ctx)
	report := placement.TasksReported{ObservedAt: requestedAt, Tasks: make([]placement.TaskObservation, 0, len(tasks))}
	for i := range tasks {
		report.Tasks = append(report.Tasks, taskObservation(&tasks[i]))
	}
	return TasksListed{Report: report, Err: err}
}

var taskStatuses = map[infra.TaskStatus]placement.TaskStatus{
	infra.TaskRunning: placement.TaskRunning, infra.TaskThrottled: placement.TaskThrottled,
	infra.TaskCheckpointed: placement.TaskCheckpointed, infra.TaskDone: placement.TaskDone,
	infra.TaskFailed: placement.TaskFailed, infra.TaskStopped: placement.TaskStopped,
	infra.TaskLeaseExpired: placement.TaskLeaseExpired,
}

func taskObservation(task *infra.Task) placement.TaskObservation {
	return placement.TaskObservation{
		Operation: task.Operation, Status: taskStatuses[task.Status],
		Used:       placement.Resources{MilliCores: task.UsedMilliCores, MemoryMB: task.UsedMemoryMB},
		PowerWatts: task.PowerWatts, Error: task.Error,
	}
}

// startResult reports a call for an unknown worker as refused, since no task was
// started.
func startResult(err error) placement.CallResult {
	if errors.Is(err, infra.ErrNotFound) {
		return placement.CallRefused
	}
	return callResult(err)
}
