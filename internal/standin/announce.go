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

// announceTimeout limits one announcement, so that an unresponsive node does not
// delay the next one beyond the lease.
const announceTimeout = time.Second

// maxWithdrawAttempts limits the attempts to withdraw the target. If all fail,
// the lease expires.
const maxWithdrawAttempts = 3

// announce renews the lease of the target until the target leaves the mesh or
// is killed.
func (t *Target) announce() {
	if t.options.AnnounceURL == "" {
		return
	}
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(t.options.AnnouncePeriod)
	defer ticker.Stop()
	for {
		if err := t.sendToNode(client, http.MethodPut); err != nil {
			t.options.Log("announcement failed", err)
		}
		select {
		case <-ticker.C:
		case <-t.killed:
			return
		case <-t.leaving:
			t.withdraw(client)
			return
		}
	}
}

func (t *Target) withdraw(client *http.Client) {
	for range maxWithdrawAttempts {
		err := t.sendToNode(client, http.MethodDelete)
		if err == nil {
			return
		}
		t.options.Log("withdrawal failed", err)
	}
}

func (t *Target) sendToNode(client *http.Client, method string) error {
	s := sling.New().Base(t.options.AnnounceURL).Path("/targets/" + string(t.options.ID))
	if method == http.MethodPut {
		s = s.Put("").BodyJSON(Announcement{t.options.Service, t.options.Version, t.Addr(), t.options.Slots, t.options.Connections})
	} else {
		s = s.Delete("")
	}
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("target %s: %w", t.options.ID, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("target %s: %w", t.options.ID, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize))
	// 404 means that the node has no lease of this target to withdraw.
	isGone := method == http.MethodDelete && resp.StatusCode == http.StatusNotFound
	if resp.StatusCode/100 != 2 && !isGone {
		return fmt.Errorf("target %s: node returned %s for %s", t.options.ID, resp.Status, method)
	}
	return nil
}
