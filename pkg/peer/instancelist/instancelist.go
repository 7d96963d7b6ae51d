// Package instancelist is the client of the platform's list of instances. The
// list lags behind the instances that it names.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

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
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
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
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: readTimeout}}
}

// Read returns the list. The error has the kind Unavailable.
func (c *Client) Read(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", nil)
	if err != nil {
		return List{}, unavailable(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return List{}, unavailable(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return List{}, unavailable(fmt.Errorf("status %d", res.StatusCode))
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&list); err != nil {
		return List{}, unavailable(err)
	}
	return list, nil
}

func unavailable(cause error) error {
	return problem.New(problem.Unavailable, "wait until the instance list is back; the last reading stays in use",
		"the instance list did not answer: %v", cause)
}
