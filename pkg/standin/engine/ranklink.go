package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/httpclient"
	peer "github.com/fescuehub/fescuehub/pkg/peer/engine"
)

const (
	rankLinkTimeout   = 2 * time.Second
	reportQueueLength = 16
)

// rankLink sends reports to one other rank, in order. Reports that do not fit into the queue are
// dropped; the gate resends them.
type rankLink struct {
	url    string
	client *http.Client
	queue  chan expertmap.Report
}

func newRankLink(base string) *rankLink {
	return &rankLink{
		url:    base + peer.RankBarrierPath,
		client: &http.Client{Transport: httpclient.NewTransport(nil), Timeout: rankLinkTimeout},
		queue:  make(chan expertmap.Report, reportQueueLength),
	}
}

func (l *rankLink) enqueue(r expertmap.Report) {
	select {
	case l.queue <- r:
	default:
	}
}

func (l *rankLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.queue:
			l.send(ctx, r)
		}
	}
}

func (l *rankLink) send(ctx context.Context, r expertmap.Report) {
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, bytes.NewReader(body))
	if err != nil {
		return
	}
	if res, err := l.client.Do(req); err == nil {
		_ = res.Body.Close()
	}
}
