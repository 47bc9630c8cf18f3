package network

import "time"

// minUnreadTime is how long nothing must have been sent to a client before its answers make room for those of others.
const minUnreadTime = 50 * time.Millisecond

// reserveAnswer reserves n bytes for an answer. An answer that waits for a client that does not read must not cost another client
// its own: where there is no room left, the one that has waited for longest is dropped.
func (f *HTTP2) reserveAnswer(n int) bool {
	c := f.Clients
	if c.reserveAnswer(n, answerHeadroom) {
		return true
	}
	if f.evicting.CompareAndSwap(false, true) {
		go f.evictUnread()
	}
	return c.reserveAnswer(n, evictionHeadroom)
}

// evictUnread drops the answers of the connections that have not read for longest, until there is room again. It locks one
// connection at a time, and is called on a goroutine of its own, as the core's must not wait for connections.
func (f *HTTP2) evictUnread() {
	defer f.evicting.Store(false)
	c := f.Clients
	for c.bufferedBytes.Load() > c.MaxBufferedBytes+c.MaxBufferedBytes/evictionTarget {
		s := f.longestUnread(time.Now().Add(-minUnreadTime))
		if s == nil {
			return
		}
		s.dropUnread()
	}
}

// longestUnread returns the connection with answers to which nothing was sent for longest, and at least since a time, or nil.
func (f *HTTP2) longestUnread(since time.Time) (longest *http2Session) {
	f.sessions.Range(func(key, _ any) bool {
		s := key.(*http2Session)
		if bytes, at := s.unread(); bytes > 0 && at.Before(since) {
			longest, since = s, at
		}
		return true
	})
	return longest
}

// unread returns how many bytes of answers wait for the client, and since when nothing was sent to it.
func (s *http2Session) unread() (bytes int, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0, since
	}
	bytes, since = s.machine.UnreadAnswers()
	s.inbox.Lock()
	defer s.inbox.Unlock()
	if bytes == 0 {
		since = s.inbox.since
	}
	return bytes + s.inbox.bufferedBytes, since
}

// dropUnread resets the streams whose answers wait for the client.
func (s *http2Session) dropUnread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processInbox()
	s.machine.DropUnreadAnswers()
	s.handleEvents()
	s.signalWriter()
}
