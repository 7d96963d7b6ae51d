// Package rawserver implements a stand-in for a backend server that writes scripted bytes to its connections, so
// that it can answer in ways that a server of net/http cannot.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fescuehub/fescuehub/pkg/netconn"
)

// uploadTimeout bounds the wait for a part of an upload.
const uploadTimeout = 2 * time.Second

// End is what a server does with its connection after an answer.
type End int

// The ends of an answer.
const (
	// KeepOpen reads the upload and waits for the next request.
	KeepOpen End = iota
	// Close closes the connection.
	Close
	// CloseUnread waits until more of the upload has arrived, and closes the connection without reading it. The kernel
	// resets the connection then.
	CloseUnread
	// Reset resets the connection.
	Reset
	// CloseSending closes the server's side of the connection, reads the upload to its end, and then closes the
	// connection.
	CloseSending
)

// Answer is the answer to one request.
type Answer struct {
	// Text is written as it is.
	Text string
	// AfterUpload reads the whole upload before the answer; otherwise the answer follows the head of the request.
	AfterUpload bool
	// Pause is the time between the answer and its end. A reset discards bytes that have not arrived.
	Pause time.Duration
	End   End
	// BeforeUpload, if set, delays the reading of the upload after CloseSending until it is closed.
	BeforeUpload <-chan struct{}
}

// Server answers requests on loopback. It is safe for concurrent use.
type Server struct {
	listener    net.Listener
	answer      func(*http.Request) Answer
	requests    atomic.Int64
	connections atomic.Int64
	uploaded    atomic.Int64
}

// Start starts a server that gets its answers from answer. The caller must call Close.
func Start(answer func(*http.Request) Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, answer: answer}
	go s.accept()
	return s, nil
}

// Address returns the address of the server as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests whose head has been read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Connections returns the number of connections that have been accepted.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// UploadedBytes returns the number of bytes of request bodies that have been read.
func (s *Server) UploadedBytes() int64 { return s.uploaded.Load() }

// Close closes the listener. Open connections go on.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(c.(*net.TCPConn))
	}
}

// serve answers the requests on a connection. A failed read or write means that the peer has closed it.
func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		a := s.answer(r)
		if a.AfterUpload && s.readUpload(r) != nil {
			return
		}
		if _, err := io.WriteString(c, a.Text); err != nil {
			return
		}
		time.Sleep(a.Pause)
		switch a.End {
		case CloseUnread:
			for end := time.Now().Add(uploadTimeout); !netconn.HasData(c) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			return
		case Close:
			return
		case Reset:
			_ = c.SetLinger(0)
			return
		case CloseSending:
			_ = c.CloseWrite()
			if a.BeforeUpload != nil {
				<-a.BeforeUpload
			}
			_ = s.readUpload(r)
			return
		}
		if s.readUpload(r) != nil {
			return
		}
	}
}

func (s *Server) readUpload(r *http.Request) error {
	n, err := io.Copy(io.Discard, r.Body)
	s.uploaded.Add(n)
	return err
}
