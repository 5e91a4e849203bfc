package distribution

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

func newTestCodec(t testing.TB) *codec {
	t.Helper()
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func sampleMessages(t testing.TB) []*message {
	t.Helper()
	h, err := encMode().Marshal(membership.Host{ID: "a", DataCentre: "dc", Status: membership.StatusAlive, Targets: []membership.Target{{ID: "t"}}})
	if err != nil {
		t.Fatal(err)
	}
	head := &source.Head{Revision: 3, Hash: strings.Repeat("0", 64), AcceptedAt: time.Unix(1, 2).UTC()}
	return []*message{
		{Heartbeat: &heartbeat{Active: mesh.ConfigVersion{Revision: 2, Epoch: 1}, Digest: 1 << 63}},
		{Head: head, Ack: 3},
		{Hosts: []cbor.RawMessage{h}},
		{Vetoes: []source.Veto{{Service: "s", Version: "v", Attempt: 1, Evidence: strings.Repeat("e", 4000), At: time.Unix(5, 0).UTC()}}},
		{Repair: &repair{Digests: make([]uint64, membership.BucketCount)}},
		{Repair: &repair{Want: []uint16{1, 2}, ReplyNewer: true}},
	}
}

// Guards against message parts that are lost or changed by encoding, and
// against heartbeats that exceed the bandwidth budget of the control traffic.
func TestFrameRoundTrip(t *testing.T) {
	c := newTestCodec(t)
	for i, m := range sampleMessages(t) {
		f, err := c.encodeFrame(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.decodeFrame(f)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("message %d: %+v, %v", i, got, err)
		}
		if i == 0 && len(f) > 40 {
			t.Errorf("heartbeat takes %d bytes", len(f))
		}
	}
}

// Guards against received values that fill the memory or break later code.
func TestDecodeRejects(t *testing.T) {
	c := newTestCodec(t)
	tooLong := strings.Repeat("x", maxNameBytes+1)
	bomb := append([]byte{frameZstd}, c.enc.EncodeAll(make([]byte, 64*MaxText), nil)...)
	frames := [][]byte{nil, {9}, {frameRaw}, {frameRaw, 0xff}, make([]byte, MaxFrame+1), bomb}
	for _, m := range []message{
		{Head: &source.Head{Revision: 1, Hash: "short"}},
		{Head: &source.Head{Hash: strings.Repeat("0", 64)}},
		{Vetoes: []source.Veto{{Service: "s", Version: "v"}}},
		{Vetoes: []source.Veto{{Service: mesh.ServiceName(tooLong), Version: "v", Attempt: 1}}},
		{Repair: &repair{Digests: make([]uint64, 3)}},
	} {
		f, err := c.encodeFrame(&m)
		if err != nil {
			t.Fatal(err)
		}
		frames = append(frames, f)
	}
	for i, f := range frames {
		if m, err := c.decodeFrame(f); err == nil {
			t.Errorf("frame %d decoded to %+v", i, m)
		}
	}
	for i, h := range []membership.Host{
		{DataCentre: "dc", Status: 1},
		{ID: "a", Status: 1},
		{ID: "a", DataCentre: "dc"},
		{ID: mesh.HostID(tooLong), DataCentre: "dc", Status: 1},
		{ID: "a", DataCentre: "dc", Status: 1, Targets: make([]membership.Target, maxTargets+1)},
		{ID: "a", DataCentre: "dc", Status: 1, Targets: []membership.Target{{Address: tooLong}}},
	} {
		raw, err := encMode().Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeHost(raw); err == nil {
			t.Errorf("record %d decoded", i)
		}
	}
}

// Guards against records of the largest size that do not fit into a frame.
func TestLargestRecordsFit(t *testing.T) {
	c := newTestCodec(t)
	rng := rand.New(rand.NewPCG(1, 1))
	noise := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte('!' + rng.IntN(90))
		}
		return string(b)
	}
	var o outbox
	o.hosts, o.vetoes = make(map[mesh.HostID]membership.Host), make(map[source.VetoKey]source.Veto)
	for i := range 20 {
		h := membership.Host{ID: mesh.HostID(noise(20)), DataCentre: "dc", Status: membership.StatusAlive}
		for range maxTargets {
			h.Targets = append(h.Targets, membership.Target{ID: mesh.TargetID(noise(40)), Service: mesh.ServiceName(noise(60)), Address: noise(30)})
		}
		o.hosts[h.ID] = h
		v := source.Veto{Service: "s", Version: "v", Attempt: i, Evidence: noise(maxEvidenceBytes), Route: noise(maxNameBytes)}
		o.vetoes[v.Key()] = v
	}
	hosts, vetoes := 0, 0
	for more := true; more; {
		var m message
		more = !o.moveRecords(&m)
		f, err := c.encodeFrame(&m)
		if err != nil || len(f) > MaxFrame {
			t.Fatalf("frame of %d bytes, %v", len(f), err)
		}
		hosts, vetoes = hosts+len(m.Hosts), vetoes+len(m.Vetoes)
	}
	if hosts != 20 || vetoes != 20 {
		t.Errorf("sent %d hosts and %d vetoes of 20", hosts, vetoes)
	}
}

// FuzzDecodeFrame guards against frames that crash the decoder or decode to
// values that cannot be forwarded.
func FuzzDecodeFrame(f *testing.F) {
	c := newTestCodec(f)
	for _, m := range sampleMessages(f) {
		frame, err := c.encodeFrame(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := c.decodeFrame(frame)
		if err != nil {
			return
		}
		for _, raw := range m.Hosts {
			if h, err := decodeHost(raw); err == nil {
				if again, err := encMode().Marshal(&h); err != nil || len(again) == 0 {
					t.Fatal("a decoded record cannot be encoded")
				}
			}
		}
		again, err := c.encodeFrame(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.decodeFrame(again); err != nil && len(again) <= MaxFrame && !bytes.Equal(again, frame) {
			t.Fatalf("a decoded message cannot be forwarded: %v", err)
		}
	})
}
