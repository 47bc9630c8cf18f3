// Package platform stands in for the platform around a dispatcher: a director and backends, in
// process and on loopback, written from the published protocol with the standard library's
// HTTP server. It shares no code with what serves, so that a mistake there shows here.
package platform

import (
	"net"
	"net/http"
)

// listen opens a free port of 127.0.0.1.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// serve has a server answer on a listener until it is closed.
func serve(l net.Listener, s *http.Server) *http.Server {
	go func() { _ = s.Serve(l) }() // ends with Close
	return s
}
