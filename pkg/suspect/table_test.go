package suspect

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func keyNumber(n int) Key {
	var k Key
	binary.LittleEndian.PutUint64(k[:], uint64(n))
	return k
}

// Guards against two different requests that share a record, and against the same
// request under two keys.
func TestKey(t *testing.T) {
	base := Request{Method: "POST", Host: "mesh.example", URI: "/orders/1?by=spool", Caller: "pedidos", Body: []byte("rope")}
	same := base
	same.Host, same.Body = "Mesh.example:80", []byte("rope")
	if base.Key() != same.Key() {
		t.Error("the same request has two keys")
	}
	for name, change := range map[string]func(*Request){
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host = "other.example" },
		"query":  func(r *Request) { r.URI = "/orders/1?by=fibre" },
		"caller": func(r *Request) { r.Caller = "bodega" },
		"body":   func(r *Request) { r.Body = []byte("ropes") },
		"border": func(r *Request) { r.URI, r.Caller = r.URI+"p", "edidos" },
	} {
		other := base
		if change(&other); other.Key() == base.Key() {
			t.Errorf("a request with another %s has the same key", name)
		}
	}
}

// Guards against a guilty request that is sent on, a bystander that is not, and a
// popular request that is rejected since many targets ended together.
func TestDecide(t *testing.T) {
	type step struct {
		wait time.Duration
		ends int  // new ends under the request
		done bool // it completes after them
	}
	cases := []struct {
		name   string
		proven bool
		steps  []step
		want   Verdict
		hold   time.Duration
	}{
		{"unknown", false, nil, Clear, 0},
		{"ran beside a guilty one", false, []step{{ends: 1}}, Trial, 0},
		{"bystander that has completed", false, []step{{ends: 1, done: true}}, Clear, 0},
		{"second end", false, []step{{ends: 1}, {time.Second, 1, false}}, Rejected, restartHold},
		{"second end, target is back", false, []step{{ends: 1}, {0, 1, false}, {wait: restartHold}}, Trial, 0},
		{"third end", false, []step{{ends: 1}, {time.Second, 2, false}}, Rejected, rejectTime},
		{"third end, some time ago", false, []step{{ends: 3}, {wait: time.Minute}}, Rejected, rejectTime - time.Minute},
		{"tried again after a long time", false, []step{{ends: 3}, {wait: rejectTime}}, Trial, 0},
		{"ends a target again", false, []step{{ends: 3}, {rejectTime, 1, false}}, Rejected, rejectTime},
		{"completes after a long time", false, []step{{ends: 3}, {rejectTime, 0, true}}, Clear, 0},
		{"forgotten", false, []step{{ends: 3}, {wait: retention}}, Clear, 0},
		{"popular, one end", true, []step{{ends: 1}}, Clear, 0},
		{"popular, seven targets end together", true, []step{{ends: 7}, {wait: time.Second}}, Trial, 0},
		{"popular, three rounds", true, []step{{ends: 1}, {2 * time.Second, 1, false}, {2 * time.Second, 1, false}}, Rejected, 4 * time.Second},
		{"popular, four rounds", true, []step{{ends: 1}, {2 * time.Second, 1, false}, {2 * time.Second, 1, false}, {4 * time.Second, 1, false}}, Rejected, rejectTime},
		{"popular, completes again", true, []step{{ends: 7, done: true}}, Clear, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, key, end := NewTable(), keyNumber(1), EndID(0)
				for _, s := range tc.steps {
					time.Sleep(s.wait)
					for range s.ends {
						end++
						table.RecordEnd(end, []Observation{{key, tc.proven}})
					}
					if s.done {
						table.RecordCompletion(key)
					}
				}
				if d := table.Decide(key); d.Verdict != tc.want || d.RetryAfter != tc.hold {
					t.Errorf("verdict %d, retry after %s; want %d, %s", d.Verdict, d.RetryAfter, tc.want, tc.hold)
				}
			})
		})
	}
}

// Guards against processes that differ in what they know once each has heard the others,
// in whatever order and however often records arrive.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		var sent []Record
		for _, table := range tables {
			table.OnChange(func(r []Record) { sent = append(sent, r...) })
		}
		for range rapid.IntRange(1, 20).Draw(rt, "events") {
			table, key := tables[rapid.IntRange(0, 2).Draw(rt, "table")], keyNumber(rapid.IntRange(1, 3).Draw(rt, "key"))
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				table.RecordCompletion(key)
			case 1:
				if len(sent) > 0 {
					table.Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "record"):][:1])
				}
			default:
				table.RecordEnd(EndID(rapid.IntRange(1, 6).Draw(rt, "end")), []Observation{{Key: key}})
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Records())
				}
			}
		}
		for n := 1; n <= 3; n++ {
			first := tables[0].Decide(keyNumber(n))
			for _, other := range tables[1:] {
				if d := other.Decide(keyNumber(n)); d.Verdict != first.Verdict || d.Ends != first.Ends {
					rt.Fatalf("request %d: %+v and %+v", n, first, d)
				}
			}
		}
	})
}

// Guards against ends that are counted in several processes and stop no request there.
func TestEndsOfSeveralProcessesCountTogether(t *testing.T) {
	a, b := NewTable(), NewTable()
	key := keyNumber(1)
	a.RecordEnd(1, []Observation{{Key: key}})
	b.RecordEnd(2, []Observation{{Key: key}})
	b.RecordEnd(3, []Observation{{Key: key}})
	b.RecordEnd(1, []Observation{{Key: key}}) // the end that the other one has seen as well
	if d := b.Decide(key); d.Ends != 3 {
		t.Errorf("%d ends at the second process", d.Ends)
	}
	if changed := a.Merge(b.Records()); len(changed) != 1 || len(a.Merge(b.Records())) != 0 {
		t.Errorf("merge changed %v", changed)
	}
	if d := a.Decide(key); d.Verdict != Rejected || d.Ends != 3 {
		t.Errorf("%+v after the merge", d)
	}
}

// Guards against a flood of different requests that takes memory without bound or makes
// a guilty request forgotten.
func TestFloodOfRequests(t *testing.T) {
	table, guilty := NewTable(), keyNumber(-1)
	for end := range MaxEnds {
		table.RecordEnd(EndID(1+end), []Observation{{Key: guilty}})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 20 * maxRecords {
		table.RecordEnd(EndID(rng.Uint64()), []Observation{{Key: keyNumber(i)}})
		if n := table.Len(); n > maxRecords {
			t.Fatalf("%d records", n)
		}
	}
	if d := table.Decide(guilty); d.Verdict != Rejected {
		t.Errorf("the guilty request gets %+v", d)
	}
}

// Guards against records of other processes that break the bounds of the table.
func TestMergeIgnoresWhatIsOutOfBounds(t *testing.T) {
	table := NewTable()
	for _, r := range []Record{
		{Key: keyNumber(1), Ends: slices.Repeat([]EndID{1}, maxRecordEnds+1)},
		{Key: keyNumber(2), Ends: []EndID{1, 2, 3}, AgeMs: retention.Milliseconds()},
		{Key: keyNumber(3)},
	} {
		if changed := table.Merge([]Record{r}); len(changed) > 0 || table.Decide(r.Key).Verdict != Clear {
			t.Errorf("record %v is kept", r)
		}
	}
	if table.Merge([]Record{{Key: keyNumber(4), Ends: []EndID{2, 1, 2}, AgeMs: -5}}); table.Decide(keyNumber(4)).Ends != 2 {
		t.Errorf("%d ends of a record that is not in order", table.Decide(keyNumber(4)).Ends)
	}
}
