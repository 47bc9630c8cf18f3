// Package consul reads backends from Consul's catalogue and health API with the official client
// library, and registers the dispatcher there. It validates each answer and each entry and passes
// on the valid ones. Package membership decides on the state of a backend from them.
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

// Config sets which service to watch and how to call the agents.
type Config struct {
	Addresses []string // host:port of agents; the next is asked when one fails
	Scheme    string   // http or https
	Service   string
	Tags      []string // an instance must have all of them
	Filter    string   // expression in Consul's filter language; may be empty

	Datacenter, Namespace, Partition string

	Token, TokenFile string // an ACL token, or the file that holds it; never logged
	TLS              api.TLSConfig

	AllowStale     bool          // any server may answer, not only the leader
	MaxStaleness   time.Duration // older answers are rejected
	WaitTime       time.Duration // of a blocking query
	Timeout        time.Duration // of a call, in addition to WaitTime
	MaxBodyBytes   int64         // of an answer
	CallsPerSecond float64       // rate limit of all calls
	MaxEntries     int           // instances read from an answer; the rest is refused. 0: no limit
}

// Counts counts the calls of a watch and their results.
type Counts struct {
	Calls, Lists, Unchanged, Restarted                        atomic.Int64
	Forbidden, RateLimited, Errors, Unreachable, Unreadable   atomic.Int64 // 403, 429, other statuses, no answer, invalid JSON or too long
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

// Sink receives the results of a watch, in the watch's goroutine.
type Sink interface {
	ReplaceAll([]membership.Backend) // a full list
	Unchanged()                      // the last list is still valid
	Failed()                         // a call failed
}

// Watch follows the instances of one service by blocking queries.
type Watch struct {
	Config Config
	Meta   MetaMapping
	Sink   Sink
	Counts *Counts
	Log    zerolog.Logger

	agents  []*api.Client
	limiter *rate.Limiter
}

var errTooLong = errors.New("answer exceeds the size limit")

// boundedTransport limits the size of answers, so that a faulty agent, or another server at its address, cannot
// exhaust the memory.
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
		return nil, errors.New("consul: no agent address is set")
	}
	return all, nil
}

// Init checks the configuration and makes the clients. It must be called before Run.
func (w *Watch) Init() (err error) {
	w.agents, err = w.Config.agents()
	w.limiter = rate.NewLimiter(rate.Limit(w.Config.CallsPerSecond), max(1, int(w.Config.CallsPerSecond)))
	return err
}

// Bounds of the exponential backoff after a failed call. Half of each delay is random, so that many
// dispatchers do not call an agent at the same moment.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Run follows the service until ctx ends. Each answer is followed at once by the next call, subject to the rate
// limit.
func (w *Watch) Run(ctx context.Context) {
	current, index, backoff := 0, uint64(0), minBackoff
	for w.limiter.Wait(ctx) == nil {
		next, err := w.query(ctx, w.agents[current], index)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			index, backoff = next, minBackoff
			continue
		}
		w.Sink.Failed()
		w.Log.Warn().Str("agent", w.Config.Addresses[current]).Err(err).Msg("consul call failed")
		if index = 0; len(w.agents) > 1 { // an index is valid for the agent that sent it only
			current = (current + 1) % len(w.agents)
			w.Counts.Failovers.Add(1)
		}
		select {
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		case <-ctx.Done():
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// query makes one call and passes its result to the sink. It returns the index for the next call.
func (w *Watch) query(ctx context.Context, agent *api.Client, index uint64) (uint64, error) {
	c := &w.Config
	q := &api.QueryOptions{WaitIndex: index, WaitTime: c.WaitTime, AllowStale: c.AllowStale, RequireConsistent: !c.AllowStale, Filter: c.Filter}
	// The agent adds a random delay of up to 1/16 of the wait time.
	ctx, cancel := context.WithTimeout(ctx, c.WaitTime+c.WaitTime/16+c.Timeout)
	defer cancel()
	w.Counts.Calls.Add(1)
	list, meta, err := agent.Health().ServiceMultipleTags(c.Service, c.Tags, false, q.WithContext(ctx))
	if err != nil {
		return 0, w.countFailure(err)
	}
	switch {
	case !meta.KnownLeader: // its data may be outdated
		w.Counts.NoLeader.Add(1)
		return 0, errors.New("the agent has no known leader")
	case c.MaxStaleness > 0 && meta.LastContact > c.MaxStaleness:
		w.Counts.TooStale.Add(1)
		return 0, fmt.Errorf("the answer is too stale: %v old", meta.LastContact)
	case meta.LastIndex < index: // the leader or the agent's data was lost: ignore this answer and request the full list
		w.Counts.Restarted.Add(1)
		return 0, nil
	case meta.LastIndex == index && index != 0: // the wait time passed, or something else changed
		w.Counts.Unchanged.Add(1)
		w.Sink.Unchanged()
		return index, nil
	}
	w.Counts.Lists.Add(1)
	w.Sink.ReplaceAll(w.backends(list))
	return max(meta.LastIndex, 1), nil // a query with index 0 would not block
}

// countFailure counts a failed call by its kind and returns the error to be logged.
func (w *Watch) countFailure(err error) error {
	var status api.StatusError
	switch {
	case errors.As(err, &status):
		switch status.Code {
		case http.StatusForbidden:
			w.Counts.Forbidden.Add(1)
			return errors.New("403: the ACL token lacks the permission")
		case http.StatusTooManyRequests:
			w.Counts.RateLimited.Add(1)
			return errors.New("429: the agent's rate limit is exceeded")
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
