package backendconn

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the head of a response: the status line and the headers.
	maxHeadBytes = 64 << 10
	// headTimeout bounds the time from the first byte of a head to its end.
	headTimeout = 2 * time.Second
	// bodyStallTimeout is how long the body of a response may bring no byte. It is longer than a
	// pause of a sound server, so only a server that has stopped is given up.
	bodyStallTimeout = 10 * time.Second
	// wakeupGrace is how long after an expired time-out data that has arrived is still read.
	wakeupGrace = 100 * time.Millisecond
)

var (
	errHeadTooLong = errors.Newf("the head of the response is longer than the limit of %d bytes", maxHeadBytes)
	errHeadTimeout = errors.Newf("the head of the response was not complete %v after its first byte", headTimeout)
	errStopped     = errors.New("the response is closed")
	errBodyStalled = errors.Newf("the body of the response brought no byte for %v", bodyStallTimeout)
)

// boundedReader reads from a connection. Within the head of a response it bounds the bytes and the
// time, and within the body the time without progress: a server in trouble may send bytes without
// end.
type boundedReader struct {
	nc net.Conn
	// headLeft is the number of bytes that the current head may still take. It is not used outside
	// of a head.
	headLeft int
	// headEnd is when the current head must be complete. headExtended is true once it was extended by
	// wakeupGrace.
	headEnd      time.Time
	headExtended bool
	// failed is true if the connection has failed, or its time was over, within the current head.
	failed bool
	part   responsePart
}

// responsePart is the part of a response that is being read.
type responsePart int

const (
	// waiting: no byte of the head has arrived. The context of the request bounds the wait.
	waiting responsePart = iota
	head
	body
	// stopped: nothing more is read.
	stopped
)

// beginHead starts the bounds of a head, of which a number of bytes have been buffered.
func (r *boundedReader) beginHead(buffered int) {
	r.part, r.headLeft, r.headExtended, r.failed = waiting, maxHeadBytes-buffered, false, false
	if buffered > 0 {
		r.part, r.headEnd = head, time.Now().Add(headTimeout)
	}
	_ = r.nc.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the read reports
}

// beginBody ends the bounds of the head.
func (r *boundedReader) beginBody() { r.part = body }

// stop makes reads fail until the next head.
func (r *boundedReader) stop() { r.part = stopped }

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	switch r.part {
	case head:
		return r.readHead(p)
	case body:
		return r.readBody(p)
	case stopped:
		return 0, errStopped
	}
	n, err := r.nc.Read(p[:min(len(p), r.headLeft)])
	r.headLeft -= n
	r.failed = err != nil
	r.part, r.headEnd = head, time.Now().Add(headTimeout)
	return n, err
}

func (r *boundedReader) readHead(p []byte) (int, error) {
	if r.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	p = p[:min(len(p), r.headLeft)]
	n, err := r.readBy(p, r.headEnd)
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.headExtended {
		// After a suspension of this process the time is over, but the head may have arrived.
		r.headEnd, r.headExtended = time.Now().Add(wakeupGrace), true
		n, err = r.readBy(p, r.headEnd)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHeadTimeout
	}
	r.headLeft -= n
	r.failed = err != nil
	return n, err
}

func (r *boundedReader) readBody(p []byte) (int, error) {
	n, err := r.readBy(p, time.Now().Add(bodyStallTimeout))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// After a suspension of this process the time is over, but data may have arrived.
		n, err = r.readBy(p, time.Now().Add(wakeupGrace))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errBodyStalled
	}
	return n, err
}

func (r *boundedReader) readBy(p []byte, deadline time.Time) (int, error) {
	if err := r.nc.SetReadDeadline(deadline); err != nil {
		return 0, errors.Wrap(err, "set the read deadline")
	}
	return r.nc.Read(p)
}
