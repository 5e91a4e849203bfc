package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Announcement is the body of PUT /targets/{id}.
type Announcement struct {
	Service     mesh.ServiceName   `json:"service"`
	Version     mesh.TargetVersion `json:"version"`
	Address     string             `json:"address"`
	Slots       int                `json:"slots"`
	Connections int                `json:"connections"`
}

// announceTimeout bounds one announcement, so that a silent node delays the
// next one by no more than its lease allows.
const announceTimeout = time.Second

// leaveAttempts bounds the withdrawal; when it fails, the lease expires.
const leaveAttempts = 3

// announce renews the lease of the target until the target leaves or dies.
func (t *Target) announce() {
	if t.o.AnnounceURL == "" {
		return
	}
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(t.o.AnnouncePeriod)
	defer ticker.Stop()
	for {
		if err := t.send(client, http.MethodPut); err != nil {
			t.o.Log("announcement failed", err)
		}
		select {
		case <-ticker.C:
		case <-t.dead:
			return
		case <-t.left:
			t.withdraw(client)
			return
		}
	}
}

func (t *Target) withdraw(client *http.Client) {
	for range leaveAttempts {
		err := t.send(client, http.MethodDelete)
		if err == nil {
			return
		}
		t.o.Log("withdrawal failed", err)
	}
}

func (t *Target) send(client *http.Client, method string) error {
	s := sling.New().Base(t.o.AnnounceURL).Path("/targets/" + string(t.o.ID))
	if method == http.MethodPut {
		s = s.Put("").BodyJSON(Announcement{t.o.Service, t.o.Version, t.Addr(), t.o.Slots, t.o.Connections})
	} else {
		s = s.Delete("")
	}
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("target %s: %w", t.o.ID, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("target %s: %w", t.o.ID, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize))
	// A node that does not know the target has nothing to withdraw.
	isGone := method == http.MethodDelete && resp.StatusCode == http.StatusNotFound
	if resp.StatusCode/100 != 2 && !isGone {
		return fmt.Errorf("target %s: node answers %s to %s", t.o.ID, resp.Status, method)
	}
	return nil
}
