// Package instancelist implements the client of the platform's list of instances. The list lags
// behind the actual state of the instances.
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

// Role is the kind of process that runs on an instance.
type Role string

// The roles of instances.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is the state of an instance in the list.
type State string

// The states of instances.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one entry of the list. Addresses have the form IP:port.
type Instance struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	State         State  `json:"state"`
	FailureDomain string `json:"failureDomain"`
	// Pool is the pool of an agent's backend server.
	Pool string `json:"pool,omitempty"`
	// CallerAddress is the address at which an entry accepts calls.
	CallerAddress string `json:"callerAddress,omitempty"`
	// PeerAddress is the address at which an entry accepts connections of other entries.
	PeerAddress string `json:"peerAddress,omitempty"`
	// DataAddress is the address at which an agent accepts attempts.
	DataAddress string `json:"dataAddress,omitempty"`
	// ControlAddress is the address at which an agent accepts control connections.
	ControlAddress string `json:"controlAddress,omitempty"`
}

// List is one version of the list, or the changes since an earlier version.
type List struct {
	// Epoch changes when the platform recreates its list. Revisions of different epochs cannot be
	// compared.
	Epoch     string     `json:"epoch"`
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
	// Since is the revision to which the changes apply. If it is 0, Instances is the complete list.
	// Otherwise Instances holds only the added and changed instances, and Removed the names of
	// those that were removed.
	Since   int64    `json:"since,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

const (
	readTimeout  = 3 * time.Second
	maxListBytes = 64 << 20
)

// Client reads the list of instances. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the list at the base URL.
func New(base string) *Client {
	return &Client{base: base, http: httpclient.New()}
}

// ReadSince returns the complete current list. The service sends only the changes since last, the
// list returned by the previous call; a zero List reads the complete list. The error has the kind
// Unavailable.
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
		return List{}, unavailable(fmt.Errorf("got changes since revision %d of epoch %q, want since revision %d of epoch %q", list.Since, list.Epoch, last.Revision, last.Epoch))
	}
	return last.apply(list), nil
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

// apply returns the list with the changes applied.
func (l List) apply(changes List) List {
	if len(changes.Instances)+len(changes.Removed) == 0 {
		return List{Epoch: changes.Epoch, Revision: changes.Revision, Instances: l.Instances}
	}
	obsolete := make(map[string]bool, len(changes.Instances)+len(changes.Removed))
	for _, i := range changes.Instances {
		obsolete[i.Name] = true
	}
	for _, name := range changes.Removed {
		obsolete[name] = true
	}
	out := make([]Instance, 0, len(l.Instances)+len(changes.Instances))
	for _, i := range l.Instances {
		if !obsolete[i.Name] {
			out = append(out, i)
		}
	}
	return List{Epoch: changes.Epoch, Revision: changes.Revision, Instances: append(out, changes.Instances...)}
}

func unavailable(cause error) error {
	return problem.New(problem.Unavailable, "wait until the instance list is available again; the last list read stays in use",
		"the instance list could not be read: %v", cause)
}
