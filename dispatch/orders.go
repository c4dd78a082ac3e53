package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Effects are the outbound rows of a tick.
type Effects struct {
	Starts   table.Outbound[StartOrder]
	Stops    table.Outbound[StopOrder]
	Speeds   table.Outbound[SpeedOrder]
	Polls    table.Outbound[PollOrder]
	Writes   table.Outbound[ledger.Write]
	Advice   table.Outbound[AdviceRequest]
	Logs     table.Outbound[events.Record]
	Counters table.Outbound[CounterIncrement]
}

// CounterIncrement adds Delta to a metrics counter.
type CounterIncrement struct {
	Name  string
	Delta int64
}

// Target addresses an order to a worker. The order must not be sent after
// NotAfter.
type Target struct {
	Worker      table.ID
	ID          string
	Address     string
	Incarnation int64
	// Clock is a reading that the clock of that incarnation has reached by now.
	Clock    time.Duration
	Token    int64
	Attempt  int64 // number of the worker's last poll
	NotAfter time.Time
}

// StartOrder orders a worker to start a run.
type StartOrder struct {
	Target     Target
	Run        table.ID
	Task       work.TaskName
	Number     int
	Payload    string
	LeaseUntil time.Duration // on the worker's clock
	Checkpoint string
	Ticket     string
}

// StopOrder orders a worker to end a run.
type StopOrder struct {
	Target Target
	Run    table.ID
	Task   work.TaskName
	Number int
}

// SpeedOrder sets the speed of a run, in percent of full speed.
type SpeedOrder struct {
	Target  Target
	Run     table.ID
	Task    work.TaskName
	Number  int
	Percent int
}

// PollOrder reads a worker's lists of running and ended runs, renews its leases
// and acknowledges ends.
type PollOrder struct {
	Target       Target
	LeaseUntil   time.Duration // on the worker's clock
	Acknowledged int64         // highest number of an acknowledged end
	Wait         time.Duration // how long the worker may hold the poll open
}

// AdviceRequest asks the advice service which workers may run a stage.
type AdviceRequest struct {
	Stage    table.ID
	Name     string
	Workers  []string
	Expected time.Duration // expected duration of the call
}
