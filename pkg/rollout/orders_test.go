package rollout

import (
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Guards, across restores of the platform, against a new order that is passed over, an
// order that is written again and starts a second rollout, an older one that comes back
// with the copy, and an order of the same era that is missed.
func TestOrderLogAcrossEras(t *testing.T) {
	at := platform.MakeVersion
	type step struct {
		to       mesh.TargetVersion
		revision uint64
		settled  bool
		verdict  Verdict
		newest   uint64 // revision of the newest order afterwards
	}
	first := step{"v2", at(1, 28), true, OrderNew, at(1, 28)}
	second := step{"v3", at(1, 40), true, OrderNew, at(1, 40)}
	cases := map[string][]step{
		"two orders":                        {first, second, {"v2", at(1, 28), true, OrderKnown, at(1, 40)}},
		"the same version again":            {first, {"v2", at(1, 41), true, OrderNew, at(1, 41)}},
		"written again lower":               {first, {"v2", at(2, 12), false, OrderKnown, at(1, 28)}},
		"written again higher":              {first, {"v2", at(2, 90), true, OrderKnown, at(1, 28)}},
		"unchanged in the copy":             {first, {"v2", at(2, 28), false, OrderKnown, at(1, 28)}},
		"copied, and written again":         {first, {"v2", at(2, 28), false, OrderKnown, at(1, 28)}, {"v2", at(2, 30), false, OrderKnown, at(1, 28)}, {"v2", at(2, 44), true, OrderNew, at(2, 44)}},
		"copied, and written again twice":   {first, {"v2", at(2, 28), false, OrderKnown, at(1, 28)}, {"v2", at(2, 30), false, OrderKnown, at(1, 28)}, {"v2", at(3, 30), false, OrderKnown, at(1, 28)}, {"v2", at(3, 31), false, OrderKnown, at(1, 28)}},
		"written again in two eras":         {first, {"v2", at(2, 12), true, OrderKnown, at(1, 28)}, {"v2", at(3, 5), true, OrderKnown, at(1, 28)}},
		"new after the restore":             {first, {"v2", at(2, 12), true, OrderKnown, at(1, 28)}, {"v3", at(2, 13), true, OrderNew, at(2, 13)}},
		"the same version ordered anew":     {first, {"v2", at(2, 12), true, OrderKnown, at(1, 28)}, {"v2", at(2, 20), true, OrderNew, at(2, 20)}},
		"new before the platform settled":   {first, {"v3", at(2, 13), false, OrderUnclear, at(1, 28)}, {"v3", at(2, 13), true, OrderNew, at(2, 13)}},
		"older one of the copy, seen":       {first, second, {"v2", at(2, 28), true, OrderKnown, at(1, 40)}, {"v3", at(2, 31), true, OrderKnown, at(1, 40)}},
		"older one of the copy, never seen": {second, {"v2", at(2, 28), false, OrderUnclear, at(1, 40)}, {"v3", at(2, 31), false, OrderKnown, at(1, 40)}, {"v2", at(2, 28), true, OrderKnown, at(1, 40)}},
		"stays known after an older one":    {first, second, {"v2", at(2, 28), true, OrderKnown, at(1, 40)}, {"v3", at(2, 31), true, OrderKnown, at(1, 40)}, {"v4", at(2, 32), true, OrderNew, at(2, 32)}},
	}
	for name, steps := range cases {
		var l OrderLog
		now := time.Now()
		for i, s := range steps {
			now = now.Add(time.Second)
			verdict := l.Observe(Order{Service: "orderdesk", To: s.to, Within: time.Minute, Revision: s.revision}, s.settled, now)
			o, _, _ := l.Newest(nil)
			if verdict != s.verdict || o.Revision != s.newest {
				t.Errorf("%s: step %d gives verdict %d and revision %x, want %d and %x", name, i, verdict, o.Revision, s.verdict, s.newest)
			}
		}
	}
}

// Guards against a host that starts after a restore and takes the order of a rollout
// that has ended for a new one, and against hiding an order that is new for certain.
func TestOrderIsThatOfTheKnownProgress(t *testing.T) {
	at := platform.MakeVersion
	progress := &Progress{Service: "orderdesk", To: "v2", Revision: at(1, 28), State: RolledBack}
	order := func(to mesh.TargetVersion, revision uint64) Order {
		return Order{Service: "orderdesk", To: to, Within: time.Minute, Revision: revision}
	}
	cases := map[string]struct {
		observed []Order
		known    *Progress
		want     uint64
	}{
		"written again":       {[]Order{order("v2", at(2, 12))}, progress, at(1, 28)},
		"another version":     {[]Order{order("v3", at(2, 13))}, progress, at(2, 13)},
		"of the same era":     {[]Order{order("v2", at(1, 40))}, progress, at(1, 40)},
		"nothing known":       {[]Order{order("v2", at(2, 12))}, nil, at(2, 12)},
		"after the copy's":    {[]Order{order("v1", at(2, 5)), order("v2", at(2, 12))}, progress, at(1, 28)},
		"missed before":       {[]Order{order("v1", at(1, 5)), order("v2", at(2, 12))}, progress, at(1, 28)},
		"ordered anew":        {[]Order{order("v2", at(1, 28)), order("v2", at(2, 12)), order("v2", at(2, 20))}, progress, at(2, 20)},
		"anew after another":  {[]Order{order("v2", at(1, 28)), order("v3", at(2, 12)), order("v2", at(2, 20))}, progress, at(2, 20)},
		"of an earlier era":   {[]Order{order("v2", at(1, 3))}, &Progress{To: "v2", Revision: at(2, 9)}, at(1, 3)},
		"the order it is for": {[]Order{order("v2", at(1, 28))}, progress, at(1, 28)},
	}
	for name, tc := range cases {
		var l OrderLog
		for _, o := range tc.observed {
			l.Observe(o, true, time.Now())
		}
		if o, _, ok := l.Newest(tc.known); !ok || o.Revision != tc.want {
			t.Errorf("%s: revision %x, want %x", name, o.Revision, tc.want)
		}
	}
	if _, _, ok := (&OrderLog{}).Newest(progress); ok {
		t.Error("an empty log has an order")
	}
}
