package move

import (
	_ "embed"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
)

//go:embed moves.toml
var chartFile []byte

// The states of a move on a node.
const (
	StateWaiting   chart.State = "waiting"
	StateMoving    chart.State = "moving"
	StateHeld      chart.State = "held" // paused at the current step
	StateFull      chart.State = "full"
	StateDone      chart.State = "done"
	StateTakenBack chart.State = "taken-back" // rolled back after a veto
	StateWithdrawn chart.State = "withdrawn"
)

const (
	eventStart    chart.Event = "start"
	eventSuspect  chart.Event = "suspect"
	eventClear    chart.Event = "clear"
	eventFull     chart.Event = "full"
	eventNewTime  chart.Event = "new-time"
	eventVeto     chart.Event = "veto"
	eventFault    chart.Event = "fault"
	eventWatchEnd chart.Event = "watch-end"
	eventWithdraw chart.Event = "withdraw"

	actionZeroShare   chart.Action = "zero-share"
	actionReschedule  chart.Action = "reschedule"
	actionReportFault chart.Action = "report-fault"
)

var moveChart = chart.MustLoad("moves.toml", chartFile, chart.Vocabulary{
	Events: []chart.Event{
		eventStart, eventSuspect, eventClear, eventFull, eventNewTime,
		eventVeto, eventFault, eventWatchEnd, eventWithdraw,
	},
	Actions: []chart.Action{actionZeroShare, actionReschedule, actionReportFault},
})
