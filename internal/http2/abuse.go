package http2

import (
	"fmt"

	"golang.org/x/time/rate"
)

// Abuse is something that costs us and serves no request.
type Abuse uint8

// Kinds of abuse, with the attacks that they stop.
const (
	RapidReset      Abuse = iota // resets, the client's and those it provokes: CVE-2023-44487, CVE-2025-8671, CVE-2019-9514
	Continuation                 // a field block without end: CVE-2023-45288
	HeaderList                   // a list longer than allowed, an HPACK bomb among them: CVE-2016-6581
	Ping                         // CVE-2019-9512
	Settings                     // CVE-2019-9515
	Priority                     // CVE-2019-9513
	WindowUpdate                 // by bytes as small as one: CVE-2019-9511
	EmptyData                    // DATA with nothing in it, or padding alone: CVE-2019-9518
	Unknown                      // frames that the protocol has us ignore
	ClosedStream                 // frames for streams that are over
	Overflow                     // a window beyond its limit, or more than it allows
	OverLimit                    // more streams than were announced
	UnfinishedBody               // a stream that is not sent to its end
	StalledAnswer                // an answer that is not taken: CVE-2019-9517
	UnreadOutput                 // output that is provoked and not read: CVE-2019-9512
	NoCapacity                   // a body that there is no room for
	RejectedRequest              // requests that can only be turned away
	Abuses
)

var abuseNames = [Abuses]string{"rapid_reset", "continuation", "header_list", "ping", "settings", "priority", "window_update",
	"empty", "unknown", "crossing", "overflow", "over_limit", "unfinished", "stalled", "unread", "no_room", "no_use"}

func (a Abuse) String() string { return abuseNames[a] }

// AllAbuses lists every kind, for counters.
func AllAbuses() []fmt.Stringer {
	all := make([]fmt.Stringer, Abuses)
	for i := range all {
		all[i] = Abuse(i)
	}
	return all
}

// Limits of a connection. What they allow is far beyond what clients need that mean well: a
// phone that goes to sleep resets all its streams at once, and some clients ping with every
// request; none goes on and on.
const (
	pingBurst, pingPerSec         = 200, 20
	settingsBurst, settingsPerSec = 20, 1
	maxUnproductive               = 2048 // frames or KiB since the last that was of use
)

// abuseLimits holds what a client may still do that is of no use.
type abuseLimits struct {
	pings, settings, resets *rate.Limiter
	unproductive            int
}

func newAbuseLimits(streams int) abuseLimits {
	return abuseLimits{pings: rate.NewLimiter(pingPerSec, pingBurst), settings: rate.NewLimiter(settingsPerSec, settingsBurst),
		resets: rate.NewLimiter(rate.Limit(streams), 100+2*streams)}
}

// credit tells that something of credit was done, worth so many useless frames.
func (m *abuseLimits) credit(worth int) { m.unproductive = max(m.unproductive-worth, 0) }

func (c *Conn) reportAbuse(a Abuse) {
	if c.cfg.OnAbuse != nil {
		c.cfg.OnAbuse(a)
	}
}

// failAbuse ends the connection for what its client does.
func (c *Conn) failAbuse(a Abuse) {
	if !c.ended {
		c.reportAbuse(a)
		c.fail(EnhanceYourCalm, a.String())
	}
}

// countUnproductive takes in a frame that serves nothing by itself, with so many bytes.
func (c *Conn) countUnproductive(a Abuse, bytes int) {
	if c.limits.unproductive += 1 + bytes>>10; c.limits.unproductive > maxUnproductive {
		c.failAbuse(a)
	}
}

// chargeReset takes in a stream that ended for nothing, and says whether that was one too many.
func (c *Conn) chargeReset(a Abuse) bool {
	if c.ended {
		return true
	}
	if !c.limits.resets.AllowN(c.now, 1) {
		c.failAbuse(a)
		return true
	}
	return false
}

// CountRejected tells that the driver had to turn a request away for a fault of the client's.
func (c *Conn) CountRejected() { c.chargeReset(RejectedRequest) }
