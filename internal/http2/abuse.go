package http2

import (
	"fmt"

	"golang.org/x/time/rate"
)

// Abuse is a kind of client behaviour that costs resources without serving a request.
type Abuse uint8

// Kinds of abuse, with the attacks that limiting them prevents.
const (
	RapidReset      Abuse = iota // resets by the client and resets it provokes: CVE-2023-44487, CVE-2025-8671, CVE-2019-9514
	Continuation                 // a field block without end: CVE-2023-45288
	HeaderList                   // a header list above the limit, also from an HPACK bomb: CVE-2016-6581
	Ping                         // CVE-2019-9512
	Settings                     // CVE-2019-9515
	Priority                     // CVE-2019-9513
	WindowUpdate                 // updates as small as one byte: CVE-2019-9511
	EmptyData                    // DATA that is empty or only padding: CVE-2019-9518
	Unknown                      // frames that the protocol requires us to ignore
	ClosedStream                 // frames for closed streams
	Overflow                     // a window above its limit, or more data than it allows
	OverLimit                    // more streams than announced
	UnfinishedBody               // a request body that is not sent to its end
	StalledAnswer                // an answer that the client does not read: CVE-2019-9517
	UnreadOutput                 // output that the client provokes and does not read: CVE-2019-9512
	NoCapacity                   // a body for which no memory was granted
	RejectedRequest              // requests that can only be rejected
	Abuses                       // number of kinds
)

var abuseNames = [Abuses]string{"rapid_reset", "continuation", "header_list", "ping", "settings", "priority", "window_update",
	"empty", "unknown", "crossing", "overflow", "over_limit", "unfinished", "stalled", "unread", "no_room", "no_use"}

func (a Abuse) String() string { return abuseNames[a] }

// AllAbuses returns all kinds, for counters.
func AllAbuses() []fmt.Stringer {
	all := make([]fmt.Stringer, Abuses)
	for i := range all {
		all[i] = Abuse(i)
	}
	return all
}

// Limits of a connection. They are far above the needs of well-behaved clients: a
// phone that goes to sleep resets all its streams at once, and some clients ping with every
// request, but neither continues without end.
const (
	pingBurst, pingPerSec         = 200, 20
	settingsBurst, settingsPerSec = 20, 1
	maxUnproductive               = 2048 // frames or KiB without enough useful work between them
)

// abuseLimits holds how much unproductive work a client may still cause.
type abuseLimits struct {
	pings, settings, resets *rate.Limiter
	unproductive            int
}

func newAbuseLimits(streams int) abuseLimits {
	return abuseLimits{pings: rate.NewLimiter(pingPerSec, pingBurst), settings: rate.NewLimiter(settingsPerSec, settingsBurst),
		resets: rate.NewLimiter(rate.Limit(streams), 100+2*streams)}
}

// credit records useful work, which offsets worth unproductive frames.
func (m *abuseLimits) credit(worth int) { m.unproductive = max(m.unproductive-worth, 0) }

func (c *Conn) reportAbuse(a Abuse) {
	if c.cfg.OnAbuse != nil {
		c.cfg.OnAbuse(a)
	}
}

// failAbuse ends the connection because of its client's abuse.
func (c *Conn) failAbuse(a Abuse) {
	if !c.ended {
		c.reportAbuse(a)
		c.fail(EnhanceYourCalm, a.String())
	}
}

// countUnproductive records a frame of so many bytes that serves no request by itself.
func (c *Conn) countUnproductive(a Abuse, bytes int) {
	if c.limits.unproductive += 1 + bytes>>10; c.limits.unproductive > maxUnproductive {
		c.failAbuse(a)
	}
}

// chargeReset records a stream that ended without use. It reports whether the connection has ended,
// possibly because the limit was exceeded.
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

// CountRejected records that the driver rejected a request because of a fault of the client's.
func (c *Conn) CountRejected() { c.chargeReset(RejectedRequest) }
