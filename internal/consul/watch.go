// Package consul reads backends from Consul's catalogue and health API, by the official client
// library, and registers the dispatcher there. It judges answers and entries one by one and
// hands on what is well formed; what a backend's state is from that is for package membership.
package consul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/consul/api"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"tinsail/internal/membership"
)

// Config says what to read, and from where.
type Config struct {
	Addresses []string // host:port of agents; the next is asked when one fails
	Scheme    string   // http or https
	Service   string
	Tags      []string // all of which an instance has
	Filter    string   // an expression of Consul's, may be empty

	Datacenter, Namespace, Partition string

	Token, TokenFile string // an ACL token, or the file that holds it; never logged
	TLS              api.TLSConfig

	AllowStale     bool          // any server may answer, not the leader alone
	MaxStaleness   time.Duration // of an answer; one that is older is not believed
	WaitTime       time.Duration // of a blocking query
	Timeout        time.Duration // beyond Wait
	MaxBodyBytes   int64         // bytes of an answer
	CallsPerSecond float64       // calls a second, at most
	MaxEntries     int           // instances of an answer, at most; the rest is refused
}

// Counts are what a watch has seen.
type Counts struct {
	Calls, Lists, Unchanged, Restarted                        atomic.Int64
	Forbidden, RateLimited, Errors, Unreachable, Unreadable   atomic.Int64 // 403, 429, other statuses, no answer, no JSON or too long
	NoLeader, TooStale, EntriesRefused, Duplicates, Failovers atomic.Int64
}

// Each calls f for every counter.
func (c *Counts) Each(f func(name string, n int64)) {
	for _, x := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"calls", &c.Calls}, {"lists", &c.Lists}, {"same", &c.Unchanged}, {"restarted", &c.Restarted}, {"forbidden", &c.Forbidden},
		{"limited", &c.RateLimited}, {"errors", &c.Errors}, {"unreachable", &c.Unreachable}, {"unread", &c.Unreadable},
		{"no_leader", &c.NoLeader}, {"too_stale", &c.TooStale}, {"entries_refused", &c.EntriesRefused},
		{"entries_double", &c.Duplicates}, {"failovers", &c.Failovers},
	} {
		f("consul_"+x.name, x.n.Load())
	}
}

// Sink takes what a watch finds, from the watch's goroutine.
type Sink interface {
	ReplaceAll([]membership.Backend)
	Unchanged()
	Failed()
}

// Watch follows one service.
type Watch struct {
	Config Config
	Meta   MetaMapping
	Sink   Sink
	Counts *Counts
	Log    zerolog.Logger

	agents  []*api.Client
	limiter *rate.Limiter
}

var errTooLong = errors.New("the answer is longer than allowed")

// boundedTransport keeps answers within a length: no agent, and nothing that stands in for one, makes us
// hold more.
type boundedTransport struct {
	next  http.RoundTripper
	limit int64
}

func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := b.next.RoundTrip(r)
	if err == nil {
		answer.Body = &limitedBody{answer.Body, b.limit}
	}
	return answer, err
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

func (l *limitedBody) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.ReadCloser.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// agents makes a client for each address.
func (c *Config) agents() ([]*api.Client, error) {
	var all []*api.Client
	for _, address := range c.Addresses {
		transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
		if c.Scheme == "https" {
			tls, err := api.SetupTLSConfig(&c.TLS)
			if err != nil {
				return nil, fmt.Errorf("consul: tls: %w", err)
			}
			transport.TLSClientConfig = tls
		}
		client, err := api.NewClient(&api.Config{Address: address, Scheme: c.Scheme, Datacenter: c.Datacenter, Namespace: c.Namespace,
			Partition: c.Partition, Token: c.Token, TokenFile: c.TokenFile, HttpClient: &http.Client{Transport: boundedTransport{transport, c.MaxBodyBytes}}})
		if err != nil {
			return nil, fmt.Errorf("consul: %s: %w", address, err)
		}
		all = append(all, client)
	}
	if len(all) == 0 {
		return nil, errors.New("consul: no address")
	}
	return all, nil
}

// Init checks the configuration. It must be called before Run.
func (w *Watch) Init() (err error) {
	w.agents, err = w.Config.agents()
	w.limiter = rate.NewLimiter(rate.Limit(w.Config.CallsPerSecond), max(1, int(w.Config.CallsPerSecond)))
	return err
}

// Pauses after a call that failed: from the first on twice as long, half of each by chance, so that
// many dispatchers do not come back to an agent together.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Run follows the service until ctx ends. Each answer is followed at once by the next call, as far
// as the limit on calls lets it.
func (w *Watch) Run(ctx context.Context) {
	at, index, pause := 0, uint64(0), minBackoff
	for w.limiter.Wait(ctx) == nil {
		next, err := w.query(ctx, w.agents[at], index)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			index, pause = next, minBackoff
			continue
		}
		w.Sink.Failed()
		w.Log.Warn().Str("agent", w.Config.Addresses[at]).Err(err).Msg("consul call failed")
		if index = 0; len(w.agents) > 1 { // another agent's index is another's
			at = (at + 1) % len(w.agents)
			w.Counts.Failovers.Add(1)
		}
		select {
		case <-time.After(pause/2 + rand.N(pause/2)):
		case <-ctx.Done():
			return
		}
		pause = min(2*pause, maxBackoff)
	}
}

// query makes one call and hands on what it brought. It returns the index for the next one.
func (w *Watch) query(ctx context.Context, agent *api.Client, index uint64) (uint64, error) {
	c := &w.Config
	q := &api.QueryOptions{WaitIndex: index, WaitTime: c.WaitTime, AllowStale: c.AllowStale, RequireConsistent: !c.AllowStale, Filter: c.Filter}
	// The agent adds up to a sixteenth to a wait, by chance.
	ctx, cancel := context.WithTimeout(ctx, c.WaitTime+c.WaitTime/16+c.Timeout)
	defer cancel()
	w.Counts.Calls.Add(1)
	list, meta, err := agent.Health().ServiceMultipleTags(c.Service, c.Tags, false, q.WithContext(ctx))
	if err != nil {
		return 0, w.countFailure(err)
	}
	switch {
	case !meta.KnownLeader: // what it knows may be long past
		w.Counts.NoLeader.Add(1)
		return 0, errors.New("the agent knows no leader")
	case c.MaxStaleness > 0 && meta.LastContact > c.MaxStaleness:
		w.Counts.TooStale.Add(1)
		return 0, fmt.Errorf("the answer is %v old", meta.LastContact)
	case meta.LastIndex < index: // a leader was lost, or the agent's data: start anew, believe nothing of this
		w.Counts.Restarted.Add(1)
		return 0, nil
	case meta.LastIndex == index && index != 0: // the wait was over, or something else changed
		w.Counts.Unchanged.Add(1)
		w.Sink.Unchanged()
		return index, nil
	}
	w.Counts.Lists.Add(1)
	w.Sink.ReplaceAll(w.backends(list))
	return max(meta.LastIndex, 1), nil // 0 would not wait
}

// countFailure counts a call that failed by what was wrong.
func (w *Watch) countFailure(err error) error {
	var status api.StatusError
	switch {
	case errors.As(err, &status):
		switch status.Code {
		case http.StatusForbidden:
			w.Counts.Forbidden.Add(1)
			return errors.New("403: the ACL token does not allow it")
		case http.StatusTooManyRequests:
			w.Counts.RateLimited.Add(1)
			return errors.New("429: the agent's limit on calls")
		}
		w.Counts.Errors.Add(1)
		return fmt.Errorf("status %d", status.Code)
	case errors.Is(err, errTooLong), isUnreadable(err):
		w.Counts.Unreadable.Add(1)
	default:
		w.Counts.Unreachable.Add(1)
	}
	return err
}
