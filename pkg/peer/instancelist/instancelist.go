// Package instancelist is the client of the platform's list of instances. The
// list lags behind the instances that it names.
package instancelist

import (
	"context"
	"fmt"
	"net/http"
	neturl "net/url"
	"time"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Role says which process runs on an instance.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State of an instance in the list.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one row of the list. Addresses are IP:port.
type Instance struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	State         State  `json:"state"`
	FailureDomain string `json:"failureDomain"`
	// Pool that an agent's backend server belongs to.
	Pool string `json:"pool,omitempty"`
	// CallerAddress of an entry, for callers.
	CallerAddress string `json:"callerAddress,omitempty"`
	// PeerAddress of an entry, for other entries.
	PeerAddress string `json:"peerAddress,omitempty"`
	// DataAddress of an agent, for attempts.
	DataAddress string `json:"dataAddress,omitempty"`
	// ControlAddress of an agent, for control.
	ControlAddress string `json:"controlAddress,omitempty"`
}

// List is a reading of the list.
type List struct {
	// Epoch changes when the platform's list begins again; revisions of two
	// epochs can't be compared.
	Epoch     string     `json:"epoch"`
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
	// Since is set where Instances holds only what has changed since that
	// revision; Removed then names the rows that are gone.
	Since   int64    `json:"since,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

const (
	readTimeout  = 3 * time.Second
	maxListBytes = 64 << 20
)

// Client reads the list. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the list at the base URL.
func New(base string) *Client {
	return &Client{base: base, http: httpclient.New()}
}

// ReadSince returns the whole list, of which last has been read before. Only
// what has changed since then is sent. The error has the kind Unavailable.
func (c *Client) ReadSince(ctx context.Context, last List) (List, error) {
	url := c.base + "/instances"
	if last.Revision > 0 {
		url += fmt.Sprintf("?epoch=%s&since=%d", neturl.QueryEscape(last.Epoch), last.Revision)
	}
	list, err := c.get(ctx, url)
	if err != nil || list.Since == 0 {
		return list, err
	}
	if list.Since != last.Revision || list.Epoch != last.Epoch {
		return List{}, unavailable(fmt.Errorf("changes since revision %d of epoch %q in place of %d of %q", list.Since, list.Epoch, last.Revision, last.Epoch))
	}
	return last.with(list), nil
}

func (c *Client) get(ctx context.Context, url string) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var list List
	if err := httpclient.Get(ctx, c.http, url, maxListBytes, &list); err != nil {
		return List{}, unavailable(err)
	}
	return list, nil
}

// with returns the list after the changes.
func (l List) with(changes List) List {
	if len(changes.Instances)+len(changes.Removed) == 0 {
		return List{Epoch: changes.Epoch, Revision: changes.Revision, Instances: l.Instances}
	}
	replaced := make(map[string]bool, len(changes.Instances)+len(changes.Removed))
	for _, i := range changes.Instances {
		replaced[i.Name] = true
	}
	for _, name := range changes.Removed {
		replaced[name] = true
	}
	out := make([]Instance, 0, len(l.Instances)+len(changes.Instances))
	for _, i := range l.Instances {
		if !replaced[i.Name] {
			out = append(out, i)
		}
	}
	return List{Epoch: changes.Epoch, Revision: changes.Revision, Instances: append(out, changes.Instances...)}
}

func unavailable(cause error) error {
	return problem.New(problem.Unavailable, "wait until the instance list is back; the last reading stays in use",
		"the instance list did not answer: %v", cause)
}
