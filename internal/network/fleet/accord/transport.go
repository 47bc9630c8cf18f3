package accord

import "github.com/hashicorp/raft"

// raftTransport carries the Raft library's messages between voters. Heartbeats go to the library's main goroutine like
// all other messages, and not to the heartbeat handler, which the library would run beside that goroutine. There a
// heartbeat of a later term changes the term of a leader that does not know yet that it is deposed: an entry submitted
// to it at that moment would be appended with the later term, though another voter leads in it. The price is that a
// voter acknowledges no heartbeat while it waits for its disk.
type raftTransport struct{ *raft.NetworkTransport }

// SetHeartbeatHandler ignores the handler, so that heartbeats are passed on through Consumer.
func (raftTransport) SetHeartbeatHandler(func(raft.RPC)) {}
