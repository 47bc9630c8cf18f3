// Package platform provides stand-ins for the platform around a dispatcher, a director and backends,
// for tests and the demo. They run in process on loopback. They are written from the published
// protocol with the standard library's HTTP server and share no code with the dispatcher, so a
// mistake in the dispatcher's protocol code isn't repeated here.
package platform

import (
	"net"
	"net/http"
)

// listen listens on a free port of 127.0.0.1.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// serve runs the server on the listener, in a goroutine, until the server is closed.
func serve(l net.Listener, s *http.Server) *http.Server {
	go func() { _ = s.Serve(l) }() // returns after Close
	return s
}
