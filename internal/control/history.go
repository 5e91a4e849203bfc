package control

import (
	_ "embed"
	"sync"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/chart"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/rollout"
)

// settleTime is how long after the era of the store has risen an order that nobody has
// seen before is left alone. Operators write again at once what the store has lost.
const settleTime = time.Second

//go:embed history.toml
var historyChartFile []byte

const (
	historyEraKnown   chart.Event = "era-known"
	historyEraRisen   chart.Event = "era-risen"
	historySettleOver chart.Event = "settle-time-over"

	historyAnnounceEra   chart.Action = "announce-era"
	historyAnnounceLater chart.Action = "announce-later-era" // unless it is the first
	historySettle        chart.Action = "settle"
	historyCheckRows     chart.Action = "check-rows"
	historyCheckRollouts chart.Action = "check-rollouts"
	historyStoreLeft     chart.Action = "store-departures"
	historyObserveOrders chart.Action = "observe-orders"

	historyObserveEvacuations chart.Action = "observe-evacuations"

	historySettling chart.State = "settling"
)

var historyChart = chart.MustLoad("history.toml", historyChartFile, chart.Vocabulary{
	Events:  []chart.Event{historyEraKnown, historyEraRisen, historySettleOver},
	Actions: []chart.Action{historyAnnounceEra, historyAnnounceLater, historySettle, historyCheckRows, historyCheckRollouts, historyStoreLeft, historyObserveOrders, historyObserveEvacuations},
})

// storeHistory is the state of the store's history on this node, as history.toml
// defines it.
type storeHistory struct {
	agent *Agent

	mu       sync.Mutex
	state    chart.State
	known    bool                               // era has been read, or heard of
	era      uint64                             // highest that this host or another one has seen; 0 if the store names none
	unclear  map[mesh.ServiceName]rollout.Order // orders to be observed once the store has settled
	settleAt *time.Timer
	// rowsUnchecked means that the rows of hosts have not been read since the era rose.
	rowsUnchecked bool
}

func newStoreHistory(a *Agent) *storeHistory {
	return &storeHistory{agent: a, state: historyChart.Initial(), unclear: make(map[mesh.ServiceName]rollout.Order)}
}

// observe records an era that this host has read from the store or that another host
// reports.
func (h *storeHistory) observe(era uint64, from string) {
	h.mu.Lock()
	known, event := h.era, historyEraRisen
	switch {
	case !h.known:
		h.known, event = true, historyEraKnown
	case era <= known:
		h.mu.Unlock()
		return
	}
	h.era = era
	actions := h.fire(event)
	h.mu.Unlock()
	if event == historyEraRisen {
		h.agent.count("store.restored")
		h.agent.cfg.Log.Warn().Uint64("era", era).Uint64("era_before", known).Str("from", from).Msg("store was restored from an older copy")
	}
	h.run(actions, era)
}

// fire applies an event to the chart and returns the actions to run; h.mu must be held.
// The error of Next can be ignored: each state handles or ignores each event.
func (h *storeHistory) fire(e chart.Event) []chart.Action {
	next, err := historyChart.Next(h.state, e)
	if err != nil {
		return nil
	}
	h.state = next.To
	return next.Actions
}

func (h *storeHistory) run(actions []chart.Action, era uint64) {
	for _, action := range actions {
		switch action {
		case historyAnnounceEra:
			h.announce(era, 0)
		case historyAnnounceLater:
			h.announce(era, platform.FirstEra)
		case historySettle:
			h.startSettling()
		case historyCheckRows:
			h.mu.Lock()
			h.rowsUnchecked = true
			h.mu.Unlock()
		case historyCheckRollouts:
			wake(h.agent.coordinator.wakeup)
		case historyStoreLeft:
			h.agent.departures.Restore()
		case historyObserveOrders:
			h.observeUnclear()
		case historyObserveEvacuations:
			h.agent.observeEvacuations()
		}
	}
}

// announce tells the other hosts of an era above announced, unless one of them has done
// so. Each change of a record costs all hosts.
func (h *storeHistory) announce(era, announced uint64) {
	for _, host := range h.agent.members.Hosts() {
		announced = max(announced, host.StoreEra)
	}
	if era > announced {
		h.agent.members.UpdateSelf(func(self *membership.Host) { self.StoreEra = era })
	}
}

func (h *storeHistory) startSettling() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.settleAt != nil {
		h.settleAt.Stop()
	}
	h.settleAt = time.AfterFunc(settleTime, func() {
		h.mu.Lock()
		actions, era := h.fire(historySettleOver), h.era
		h.mu.Unlock()
		h.run(actions, era)
	})
}

// hold keeps an order until the store has settled. It reports false when it has.
func (h *storeHistory) hold(o rollout.Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != historySettling {
		return false
	}
	if old, ok := h.unclear[o.Service]; !ok || o.Revision > old.Revision {
		h.unclear[o.Service] = o
	}
	return true
}

func (h *storeHistory) observeUnclear() {
	h.mu.Lock()
	orders := h.unclear
	h.unclear = make(map[mesh.ServiceName]rollout.Order)
	h.mu.Unlock()
	for _, o := range orders {
		h.agent.handleOrder(o)
	}
}

func (h *storeHistory) settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state != historySettling
}

func (h *storeHistory) newestEra() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era
}

// takeRowsUnchecked reports whether the rows of hosts are to be checked, once for each
// restore.
func (h *storeHistory) takeRowsUnchecked() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	unchecked := h.rowsUnchecked
	h.rowsUnchecked = false
	return unchecked
}
